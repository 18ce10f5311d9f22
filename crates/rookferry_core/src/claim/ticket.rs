//! Tickets: idempotency keys that an instance mints while the platform is
//! unavailable and no claim can be written.
//!
//! Only the incarnation that minted a ticket may dispatch it, so its memory
//! suffices to run the request at most once. After that process has exited the
//! ticket's outcome is unknown, and it never runs again.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use rookferry_wire::Incarnation;
use rookferry_wire::InstanceId;
use sha2::Digest;
use sha2::Sha256;
use snafu::Snafu;
use subtle::ConstantTimeEq;

/// Prefix of all tickets; names their format version.
const PREFIX: &str = "rft1";
/// Hex digits of the authentication tag (128 bits).
const TAG_HEX_DIGITS: usize = 32;
/// How long a ticket can be redeemed after it was minted.
const TICKET_LIFETIME: Duration = Duration::from_hours(1);
/// Most unexpired tickets of one incarnation.
const MAX_TICKETS: usize = 100_000;

/// Why a ticket is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum TicketError {
    /// Its format or tag is invalid, so this site didn't mint it.
    #[snafu(display("not a valid ticket of this site"))]
    Invalid,
    /// Another instance minted it.
    #[snafu(display("the ticket was issued by {instance}; only that instance may run it"))]
    OtherInstance {
        /// The instance that minted it.
        instance: InstanceId,
    },
    /// An earlier incarnation of this instance minted it.
    #[snafu(display(
        "the ticket was issued by an earlier incarnation of this instance; its outcome is unknown"
    ))]
    EarlierIncarnation,
    /// It has expired, or was never minted.
    #[snafu(display("the ticket has expired and will never run"))]
    Expired,
    /// It was redeemed before for a different body.
    #[snafu(display("the ticket was already used with a different body"))]
    BodyMismatch,
}

/// Result of redeeming a valid ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RedeemOutcome {
    /// The first redemption: dispatch the request; this is returned only once.
    Dispatch,
    /// The request was dispatched before: report or resume it.
    AlreadyDispatched,
}

#[derive(Debug)]
struct MintedTicket {
    at: Instant,
    body_digest: Option<String>,
}

/// Mints and redeems the tickets of one incarnation of an instance.
#[derive(Debug)]
pub struct TicketIssuer {
    instance: InstanceId,
    incarnation: Incarnation,
    secret: String,
    next_seq: u64,
    minted: BTreeMap<u64, MintedTicket>,
}

impl TicketIssuer {
    /// No tickets yet; `secret` is the site's, and authenticates tickets.
    #[must_use]
    pub const fn new(instance: InstanceId, incarnation: Incarnation, secret: String) -> Self {
        Self {
            instance,
            incarnation,
            secret,
            next_seq: 1,
            minted: BTreeMap::new(),
        }
    }

    /// A new ticket, `None` while too many are unexpired.
    pub fn mint(&mut self, now: Instant) -> Option<String> {
        self.remove_expired(now);
        if self.minted.len() >= MAX_TICKETS {
            return None;
        }
        let seq = self.next_seq;
        self.next_seq += 1;
        let minted = MintedTicket {
            at: now,
            body_digest: None,
        };
        self.minted.insert(seq, minted);
        let body = format!(
            "{PREFIX}.{}.{:x}.{seq:x}",
            hex::encode(&*self.instance),
            self.incarnation
        );
        Some(format!("{body}.{}", self.tag(&body)))
    }

    /// Whether a key has the format of a ticket; its tag isn't checked.
    #[must_use]
    pub fn is_ticket(key: &str) -> bool {
        key.starts_with(PREFIX) && key.matches('.').count() == 4
    }

    /// Redeems a ticket for a request body.
    ///
    /// # Errors
    ///
    /// If the ticket is invalid or expired, belongs to another incarnation, or was
    /// used with a different body.
    pub fn redeem(
        &mut self,
        now: Instant,
        ticket: &str,
        body_digest: &str,
    ) -> Result<RedeemOutcome, TicketError> {
        self.remove_expired(now);
        let seq = self.verified_seq(ticket)?;
        let minted = self.minted.get_mut(&seq).ok_or(TicketError::Expired)?;
        match &minted.body_digest {
            None => {
                minted.body_digest = Some(body_digest.to_owned());
                Ok(RedeemOutcome::Dispatch)
            }
            Some(used) if used == body_digest => Ok(RedeemOutcome::AlreadyDispatched),
            Some(_) => Err(TicketError::BodyMismatch),
        }
    }

    fn verified_seq(&self, ticket: &str) -> Result<u64, TicketError> {
        let (body, tag) = ticket.rsplit_once('.').ok_or(TicketError::Invalid)?;
        if !bool::from(self.tag(body).as_bytes().ct_eq(tag.as_bytes())) {
            return Err(TicketError::Invalid);
        }
        let mut parts = body.split('.').skip(1);
        let instance = parts.next().and_then(|part| hex::decode(part).ok());
        let instance = instance.and_then(|bytes| String::from_utf8(bytes).ok());
        let instance = instance.ok_or(TicketError::Invalid)?;
        if *instance != *self.instance {
            return Err(TicketError::OtherInstance {
                instance: instance.into(),
            });
        }
        let mut numbers = parts.map(|part| u64::from_str_radix(part, 16));
        let (Some(Ok(incarnation)), Some(Ok(seq))) = (numbers.next(), numbers.next()) else {
            return Err(TicketError::Invalid);
        };
        if incarnation != self.incarnation {
            return Err(TicketError::EarlierIncarnation);
        }
        Ok(seq)
    }

    fn remove_expired(&mut self, now: Instant) {
        while let Some(oldest) = self.minted.first_entry()
            && now.saturating_duration_since(oldest.get().at) > TICKET_LIFETIME
        {
            oldest.remove();
        }
    }

    /// Authentication tag. The secret is hashed before and after the body, which
    /// prevents length extension.
    fn tag(&self, body: &str) -> String {
        let digest = Sha256::digest(format!("{}\0{body}\0{}", self.secret, self.secret));
        hex::encode(digest)[..TAG_HEX_DIGITS].to_owned()
    }
}
