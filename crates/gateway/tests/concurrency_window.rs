//! The `concurrency_window` module: how many requests may be in flight to a site.

use linnethook_gateway::concurrency_window::{ConcurrencyWindow, ConcurrencyWindowConfig};
use linnethook_gateway::flow_control::Priority;

/// Against a way that bears 20 at a time, whatever it began with: it comes near that and stays there.
#[test]
fn the_window_finds_what_the_path_bears() {
    for first in [2.0, 200.0] {
        let mut window = ConcurrencyWindow::new(ConcurrencyWindowConfig {
            initial: first,
            ..ConcurrencyWindowConfig::default()
        });
        let (mut now, mut sum) = (0.0, 0.0);
        for turn in 0..4_000 {
            now += 10.0;
            while window.may_send(Priority::Booking) {
                window.start_request();
            }
            let late = window.in_flight() > 20;
            (0..window.in_flight().div_ceil(4))
                .for_each(|_| window.finish_request(now, Some(late), Some(1_000.0)));
            if turn >= 2_000 {
                sum += window.limit() / 2_000.0;
            }
        }
        assert!((10.0..=32.0).contains(&sum), "{sum} from {first}");
    }
}

#[test]
fn bookings_have_room_where_the_rest_has_none_and_something_always_goes() {
    let mut window = ConcurrencyWindow::new(ConcurrencyWindowConfig {
        max_expected_bytes: 10_000.0,
        ..ConcurrencyWindowConfig::default()
    });
    let mut count = |priority, least: u32| {
        while window.may_send(priority) {
            window.start_request();
        }
        assert_eq!(window.in_flight(), least, "{priority:?}");
    };
    count(Priority::LaterPart, 6);
    count(Priority::FirstPart, 7);
    count(Priority::Booking, 8);
    for n in 0..300 {
        window.finish_request(f64::from(n) * 1_000.0, Some(true), Some(9_000.0));
    }
    assert_eq!((window.limit(), window.in_flight()), (2.0, 0));
    assert!(window.may_send(Priority::LaterPart));
    window.start_request();
    assert!(!window.may_send(Priority::Booking), "two such answers are more bytes than may be expected");
    let limit = window.limit();
    window.reset();
    assert!(window.limit() <= limit);
}
