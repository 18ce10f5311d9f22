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
const TAG_DIGITS: usize = 32;
/// How long a ticket can be redeemed after it was minted.
const LIFETIME: Duration = Duration::from_hours(1);
/// Most unexpired tickets of one incarnation.
const MAX_TICKETS: usize = 100_000;

/// Why a ticket is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum TicketFault {
    /// Its format or tag is invalid, so this site didn't mint it.
    #[snafu(display("not a valid ticket of this site"))]
    Foreign,
    /// Another instance minted it.
    #[snafu(display("the ticket was issued by {instance}; only that instance may run it"))]
    Elsewhere {
        /// The instance that minted it.
        instance: InstanceId,
    },
    /// An earlier incarnation of this instance minted it.
    #[snafu(display(
        "the ticket was issued by an earlier incarnation of this instance; its outcome is unknown"
    ))]
    EarlierRun,
    /// It has expired, or was never minted.
    #[snafu(display("the ticket has expired and will never run"))]
    Expired,
    /// It was redeemed before for a different body.
    #[snafu(display("the ticket was already used with a different body"))]
    OtherBody,
}

/// Result of redeeming a valid ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TicketState {
    /// The first redemption: dispatch the request; this is returned only once.
    Dispatch,
    /// The request was dispatched before: report or resume it.
    Dispatched,
}

#[derive(Debug)]
struct Minted {
    at: Instant,
    body_digest: Option<String>,
}

/// Mints and redeems the tickets of one incarnation of an instance.
#[derive(Debug)]
pub struct TicketBook {
    instance: InstanceId,
    incarnation: Incarnation,
    secret: String,
    next: u64,
    minted: BTreeMap<u64, Minted>,
}

impl TicketBook {
    /// No tickets yet; `secret` is the site's, and authenticates tickets.
    #[must_use]
    pub const fn new(instance: InstanceId, incarnation: Incarnation, secret: String) -> Self {
        Self {
            instance,
            incarnation,
            secret,
            next: 1,
            minted: BTreeMap::new(),
        }
    }

    /// A new ticket, `None` while too many are unexpired.
    pub fn mint(&mut self, now: Instant) -> Option<String> {
        self.expire(now);
        if self.minted.len() >= MAX_TICKETS {
            return None;
        }
        let seq = self.next;
        self.next += 1;
        let minted = Minted {
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
    ) -> Result<TicketState, TicketFault> {
        self.expire(now);
        let seq = self.own_seq(ticket)?;
        let minted = self.minted.get_mut(&seq).ok_or(TicketFault::Expired)?;
        match &minted.body_digest {
            None => {
                minted.body_digest = Some(body_digest.to_owned());
                Ok(TicketState::Dispatch)
            }
            Some(used) if used == body_digest => Ok(TicketState::Dispatched),
            Some(_) => Err(TicketFault::OtherBody),
        }
    }

    fn own_seq(&self, ticket: &str) -> Result<u64, TicketFault> {
        let (body, tag) = ticket.rsplit_once('.').ok_or(TicketFault::Foreign)?;
        if !bool::from(self.tag(body).as_bytes().ct_eq(tag.as_bytes())) {
            return Err(TicketFault::Foreign);
        }
        let mut parts = body.split('.').skip(1);
        let instance = parts.next().and_then(|part| hex::decode(part).ok());
        let instance = instance.and_then(|bytes| String::from_utf8(bytes).ok());
        let instance = instance.ok_or(TicketFault::Foreign)?;
        if *instance != *self.instance {
            return Err(TicketFault::Elsewhere {
                instance: instance.into(),
            });
        }
        let mut numbers = parts.map(|part| u64::from_str_radix(part, 16));
        let (Some(Ok(incarnation)), Some(Ok(seq))) = (numbers.next(), numbers.next()) else {
            return Err(TicketFault::Foreign);
        };
        if incarnation != self.incarnation {
            return Err(TicketFault::EarlierRun);
        }
        Ok(seq)
    }

    fn expire(&mut self, now: Instant) {
        while let Some(oldest) = self.minted.first_entry()
            && now.saturating_duration_since(oldest.get().at) > LIFETIME
        {
            oldest.remove();
        }
    }

    /// Authentication tag. The secret is hashed before and after the body, which
    /// prevents length extension.
    fn tag(&self, body: &str) -> String {
        let digest = Sha256::digest(format!("{}\0{body}\0{}", self.secret, self.secret));
        hex::encode(digest)[..TAG_DIGITS].to_owned()
    }
}
