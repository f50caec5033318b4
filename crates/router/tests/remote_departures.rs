//! Clients of one site that leave while the other site tries for their bookings: no attempt begins for them more
//! than 0.1 s later, and the bookings of others are made once.

mod common;

use std::thread;
use std::time::Duration;

use common::booking_sites::*;
use common::busy_store::StoreBehavior;
use common::pending_connections::{Disconnect, DISCONNECTS};

/// Longer than a site takes to try again several times.
const REJECTS_FOR: Duration = Duration::from_millis(450);
const PROMPT_STORE: StoreBehavior = StoreBehavior { rejects_for: REJECTS_FOR, answer_delay: Duration::ZERO };
/// Longer than the store rejects a booking and the pause before the next attempt together.
const OBSERVATION: Duration = Duration::from_millis(1_500);
/// The number of clients that stay.
const STAYING: usize = 2;
/// The number of clients that leave at once.
const LEAVING: usize = 6;

/// Guards against attempts for nobody: the south went on trying, and booked, after clients of the north had cancelled
/// their bookings or disconnected.
#[test]
fn a_booking_is_not_tried_at_the_other_site_once_its_client_has_left() {
    let mut sites = BookingSites::start(PROMPT_STORE);
    let staying = sites.book_several(STAYING);
    let departed: Vec<DepartedBooking> = DISCONNECTS
        .into_iter()
        .zip(sites.book_several(DISCONNECTS.len()))
        .map(|(how, booking)| booking.leave(how))
        .collect();
    thread::sleep(OBSERVATION);
    sites.assert_not_tried_after_departure(&departed);
    sites.assert_served_once(staying);
    sites.wait_until_idle();
    assert_eq!(sites.south().counters().0["sent_after_cancel"], 0);
}

/// Guards against the same while an attempt runs that the store rejects after the client has left.
#[test]
fn a_booking_whose_attempt_is_rejected_after_its_client_has_left_is_not_tried_again() {
    let answer_delay = Duration::from_millis(300);
    let mut sites = BookingSites::start(StoreBehavior { rejects_for: REJECTS_FOR, answer_delay });
    let staying = sites.book_several(STAYING);
    let departed = leave_all(sites.book_several(4), Disconnect::CancelFrames);
    thread::sleep(OBSERVATION);
    sites.assert_not_tried_after_departure(&departed);
    sites.assert_served_once(staying);
    sites.wait_until_idle();
}

fn leave_all(bookings: Vec<Booking>, how: Disconnect) -> Vec<DepartedBooking> {
    bookings.into_iter().map(|booking| booking.leave(how)).collect()
}

/// Has most of the clients leave at once after a fault of the link. The others stay.
fn leave_after(sites: &mut BookingSites, fault: impl FnOnce(&BookingSites)) -> Vec<DepartedBooking> {
    let staying = sites.book_several(STAYING);
    let leaving = sites.book_several(LEAVING);
    fault(sites);
    let departed = leave_all(leaving, Disconnect::Close);
    thread::sleep(OBSERVATION);
    sites.assert_served_once(staying);
    departed
}

/// Guards against attempts for nobody: a client left while its booking was uncertain, as the connections of the link
/// were cut, and the other site was told nothing.
#[test]
fn a_booking_is_not_tried_after_a_cut_of_the_link_once_its_client_has_left() {
    let mut sites = BookingSites::start(PROMPT_STORE);
    let departed = leave_after(&mut sites, |sites| {
        sites.proxy.cut();
        sites.proxy.clear_faults();
    });
    sites.assert_not_tried_after_departure(&departed);
    sites.wait_until_idle();
    assert_eq!(sites.south().counters().0["sent_after_link_loss"], 0);
}

/// Guards against the same where only one end of the link is lost, and the site that tries for the booking still
/// takes its end for open.
#[test]
fn a_booking_is_not_tried_over_a_half_open_link_once_its_client_has_left() {
    let mut sites = BookingSites::start(PROMPT_STORE);
    let departed =
        leave_after(&mut sites, |sites| sites.proxy.reset_dialer_ends().expect("the ends are reset"));
    sites.assert_not_tried_after_departure(&departed);
    sites.wait_until_idle();
}

/// Longer than no attempt may begin for a client that has gone, and shorter than the loss of a link is noticed.
const SILENCE: Duration = Duration::from_millis(300);
const BOTH_DIRECTIONS: [usize; 2] = [0, 1];

/// Guards against the same while a link passes nothing on and is not lost: the cancellation waited on it.
#[test]
fn a_booking_is_not_tried_while_the_link_is_silent_once_its_client_has_left() {
    let mut sites = BookingSites::start(PROMPT_STORE);
    let staying = sites.book_several(STAYING);
    let leaving = sites.book_several(LEAVING);
    sites.proxy.silence(&BOTH_DIRECTIONS);
    let departed = leave_all(leaving, Disconnect::CancelFrames);
    thread::sleep(SILENCE);
    sites.proxy.clear_faults();
    thread::sleep(OBSERVATION);
    sites.assert_not_tried_after_departure(&departed);
    sites.assert_served_once(staying);
    sites.wait_until_idle();
}

/// Guards against the same where the site of the clients has ended, with all that it owed.
#[test]
fn a_booking_is_not_tried_once_the_site_of_its_client_was_killed() {
    let mut sites = BookingSites::start(PROMPT_STORE);
    let leaving = sites.book_several(LEAVING);
    sites.kill_north();
    let departed = leave_all(leaving, Disconnect::Close);
    thread::sleep(OBSERVATION);
    sites.assert_not_tried_after_departure(&departed);
    sites.wait_until_south_is_idle();
}

/// Guards against the same where the link is not restored while the booking has time.
#[test]
fn a_booking_is_not_tried_while_the_link_stays_cut_once_its_client_has_left() {
    let mut sites = BookingSites::start(PROMPT_STORE);
    let leaving = sites.book_several(LEAVING);
    sites.proxy.cut();
    let departed = leave_all(leaving, Disconnect::Close);
    thread::sleep(OBSERVATION);
    sites.assert_not_tried_after_departure(&departed);
    sites.wait_until_idle();
}

/// Guards against the same over three sites: the one in the middle passes on what it learns of the first one.
#[test]
fn a_booking_is_not_tried_by_the_last_of_three_sites_once_its_client_has_left() {
    let mut sites = BookingSites::start_with_middle(PROMPT_STORE);
    let staying = sites.book_several(STAYING);
    let departed = leave_all(sites.book_several(LEAVING), Disconnect::Close);
    thread::sleep(OBSERVATION);
    sites.assert_not_tried_after_departure(&departed);
    sites.assert_served_once(staying);
    sites.wait_until_idle();
}

/// Guards against the same where the connections between the first and the middle one are cut.
#[test]
fn a_booking_is_not_tried_by_the_last_of_three_sites_after_a_cut_once_its_client_has_left() {
    let mut sites = BookingSites::start_with_middle(PROMPT_STORE);
    let leaving = sites.book_several(LEAVING);
    sites.proxy.cut();
    sites.proxy.clear_faults();
    let departed = leave_all(leaving, Disconnect::Close);
    thread::sleep(OBSERVATION);
    sites.assert_not_tried_after_departure(&departed);
    sites.wait_until_idle();
}
