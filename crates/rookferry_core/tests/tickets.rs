//! Tickets: only the incarnation that minted a ticket dispatches its request, and once.

use std::time::Duration;
use std::time::Instant;

use rookferry_core::RedeemOutcome;
use rookferry_core::TicketError;
use rookferry_core::TicketIssuer;

fn book(instance: &str, incarnation: u64) -> TicketIssuer {
    TicketIssuer::new(
        instance.into(),
        incarnation,
        "secret of the site".to_owned(),
    )
}

#[test]
fn a_ticket_is_dispatched_once() {
    let now = Instant::now();
    let mut own = book("entry-1", 5);
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
fn nobody_else_dispatches_it() {
    let now = Instant::now();
    let ticket = book("entry-1", 5).mint(now).expect("a ticket");
    let elsewhere = TicketError::OtherInstance {
        instance: "entry-1".into(),
    };
    assert_eq!(
        book("entry-2", 5).redeem(now, &ticket, "body"),
        Err(elsewhere)
    );
    assert_eq!(
        book("entry-1", 6).redeem(now, &ticket, "body"),
        Err(TicketError::EarlierIncarnation)
    );
}

#[test]
fn a_changed_or_foreign_one_is_refused() {
    let now = Instant::now();
    let mut own = book("entry-1", 5);
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
fn an_old_one_never_runs() {
    let now = Instant::now();
    let mut own = book("entry-1", 5);
    let ticket = own.mint(now).expect("a ticket");
    let later = now + Duration::from_hours(2);
    assert_eq!(
        own.redeem(later, &ticket, "body"),
        Err(TicketError::Expired)
    );
}
