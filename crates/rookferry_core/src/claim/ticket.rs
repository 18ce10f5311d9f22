//! Tickets: keys that an instance mints for itself while the platform is out.
//!
//! Only the run of the instance that minted a ticket may dispatch it, so that
//! its own memory suffices to run it at most once. If that run is gone, the
//! ticket's outcome is unknown and it never runs again.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use rookferry_wire::Incarnation;
use rookferry_wire::InstanceId;
use sha2::Digest;
use sha2::Sha256;
use snafu::Snafu;
use subtle::ConstantTimeEq;

const PREFIX: &str = "rft1";
/// Hex digits of the tag, 128 bits.
const TAG_DIGITS: usize = 32;
/// How long a ticket can be redeemed.
const LIFETIME: Duration = Duration::from_hours(1);
/// Tickets remembered by one run.
const MAX_TICKETS: usize = 100_000;

/// Why a ticket isn't dispatched.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum TicketFault {
    /// Not a ticket of this site.
    #[snafu(display("no ticket of this site"))]
    Foreign,
    /// Another instance minted it.
    #[snafu(display("minted by {instance}, which alone may run it"))]
    Elsewhere {
        /// The instance.
        instance: InstanceId,
    },
    /// An earlier run of this instance minted it.
    #[snafu(display("minted by an earlier run of this instance; what became of it is unknown"))]
    EarlierRun,
    /// It is too old, or was never minted.
    #[snafu(display("the ticket has expired and will never run"))]
    Expired,
    /// It was used with another body.
    #[snafu(display("the ticket was used for another body"))]
    OtherBody,
}

/// What a redeemed ticket allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TicketState {
    /// Dispatch it; it will not be allowed again.
    Dispatch,
    /// It was dispatched before.
    Dispatched,
}

#[derive(Debug)]
struct Minted {
    at: Instant,
    body_digest: Option<String>,
}

/// The tickets of one run of an instance.
#[derive(Debug)]
pub struct TicketBook {
    instance: InstanceId,
    incarnation: Incarnation,
    secret: String,
    next: u64,
    minted: BTreeMap<u64, Minted>,
}

impl TicketBook {
    /// An empty book; `secret` is the site's.
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

    /// Mints a ticket, `None` while too many are open.
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

    /// Whether a key looks like a ticket of any site.
    #[must_use]
    pub fn is_ticket(key: &str) -> bool {
        key.starts_with(PREFIX) && key.matches('.').count() == 4
    }

    /// Redeems a ticket for a body.
    ///
    /// # Errors
    ///
    /// If this run may not dispatch it.
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

    /// The secret goes before and after, so that no suffix can be added.
    fn tag(&self, body: &str) -> String {
        let digest = Sha256::digest(format!("{}\0{body}\0{}", self.secret, self.secret));
        hex::encode(digest)[..TAG_DIGITS].to_owned()
    }
}
