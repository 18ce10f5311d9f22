//! Claims: how a request that may run once is kept from running twice,
//! without a store of our own.
//!
//! Before dispatch its key is written into a platform object by conditional
//! update. Keys are grouped into shard objects, and all that wait for one
//! object share a write. Whoever finds a key taken may resume or report the
//! work, never start it.

mod key;
mod object;
mod ticket;
mod writer;

pub use rookferry_wire::Claim;
pub use rookferry_wire::ClaimRefusal;

pub use key::ClaimKey;
pub use key::KeyFault;
pub use object::ClaimObject;
pub use ticket::TicketBook;
pub use ticket::TicketFault;
pub use ticket::TicketState;
pub use writer::AskId;
pub use writer::ClaimAction;
pub use writer::ClaimEvent;
pub use writer::ClaimWriter;
