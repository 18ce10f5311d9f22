//! Claims: at-most-once dispatch of requests that carry an idempotency key.
//!
//! Before such a request is dispatched, its claim is written by conditional
//! update into an object of the platform's store; the router keeps no store of
//! its own. Keys are hashed into shard objects, and all claims that wait for
//! one object share a write. An instance that finds a key already claimed may
//! resume the work or report it, but never starts it.
//!
//! While the platform is unavailable, an instance issues tickets instead: keys
//! of its own that it can check from memory.

mod key;
mod object;
mod ticket;
mod writer;

pub use rookferry_wire::Claim;
pub use rookferry_wire::ClaimRefusal;

pub use key::ClaimKey;
pub use key::ClaimKeyError;
pub use object::ClaimObject;
pub use ticket::RedeemOutcome;
pub use ticket::TicketError;
pub use ticket::TicketIssuer;
pub use writer::ClaimAction;
pub use writer::ClaimEvent;
pub use writer::ClaimRequestId;
pub use writer::ClaimWriter;
