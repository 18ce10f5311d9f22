//! Tickets: only the incarnation that minted a ticket dispatches its request, and
//! only once. Otherwise a request could run twice while the platform is unavailable.

use std::time::Duration;
use std::time::Instant;

use rookferry_core::RedeemOutcome;
use rookferry_core::TicketError;
use rookferry_core::TicketIssuer;

fn issuer(instance: &str, incarnation: u64) -> TicketIssuer {
    TicketIssuer::new(
        instance.into(),
        incarnation,
        "secret of the site".to_owned(),
    )
}

#[test]
fn a_ticket_is_dispatched_once() {
    let now = Instant::now();
    let mut own = issuer("entry-1", 5);
    let ticket = own.mint(now).expect("a ticket");
    assert!(TicketIssuer::is_ticket(&ticket));
    assert_eq!(
        own.redeem(now, &ticket, "body"),
        Ok(RedeemOutcome::Dispatch)
    );
    assert_eq!(
        own.redeem(now, &ticket, "body"),
        Ok(RedeemOutcome::AlreadyDispatched)
    );
    assert_eq!(
        own.redeem(now, &ticket, "other"),
        Err(TicketError::BodyMismatch)
    );
}

#[test]
fn only_the_minting_incarnation_dispatches_a_ticket() {
    let now = Instant::now();
    let ticket = issuer("entry-1", 5).mint(now).expect("a ticket");
    let other_instance = TicketError::OtherInstance {
        instance: "entry-1".into(),
    };
    assert_eq!(
        issuer("entry-2", 5).redeem(now, &ticket, "body"),
        Err(other_instance)
    );
    assert_eq!(
        issuer("entry-1", 6).redeem(now, &ticket, "body"),
        Err(TicketError::EarlierIncarnation)
    );
}

#[test]
fn a_changed_or_foreign_ticket_is_refused() {
    let now = Instant::now();
    let mut own = issuer("entry-1", 5);
    let ticket = own.mint(now).expect("a ticket");
    let changed = ticket.replacen(".1.", ".2.", 1);
    assert_eq!(own.redeem(now, &changed, "body"), Err(TicketError::Invalid));
    let mut foreign = TicketIssuer::new("entry-1".into(), 5, "another secret".to_owned());
    assert_eq!(
        foreign.redeem(now, &ticket, "body"),
        Err(TicketError::Invalid)
    );
    assert_eq!(own.redeem(now, "rft1", "body"), Err(TicketError::Invalid));
}

#[test]
fn an_expired_ticket_is_refused() {
    let now = Instant::now();
    let mut own = issuer("entry-1", 5);
    let ticket = own.mint(now).expect("a ticket");
    let later = now + Duration::from_hours(2);
    assert_eq!(
        own.redeem(later, &ticket, "body"),
        Err(TicketError::Expired)
    );
}
