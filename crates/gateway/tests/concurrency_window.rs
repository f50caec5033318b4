//! Tests of the `concurrency_window` module.

use linnethook_gateway::concurrency_window::{ConcurrencyWindow, ConcurrencyWindowConfig};
use linnethook_gateway::flow_control::Priority;

/// On a path with a capacity of 20 requests, the window converges to about that from any initial size and
/// stays there.
#[test]
fn window_converges_to_the_capacity_of_the_path() {
    for initial in [2.0, 200.0] {
        let mut window =
            ConcurrencyWindow::new(ConcurrencyWindowConfig { initial, ..ConcurrencyWindowConfig::default() });
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
        assert!((10.0..=32.0).contains(&sum), "mean window {sum} from initial {initial}");
    }
}

#[test]
fn bookings_may_use_the_entire_window_and_one_request_is_always_allowed() {
    let mut window = ConcurrencyWindow::new(ConcurrencyWindowConfig {
        max_expected_bytes: 10_000.0,
        ..ConcurrencyWindowConfig::default()
    });
    let mut fill = |priority, expected: u32| {
        while window.may_send(priority) {
            window.start_request();
        }
        assert_eq!(window.in_flight(), expected, "{priority:?}");
    };
    fill(Priority::LaterPart, 6);
    fill(Priority::FirstPart, 7);
    fill(Priority::Booking, 8);
    for n in 0..300 {
        window.finish_request(f64::from(n) * 1_000.0, Some(true), Some(9_000.0));
    }
    assert_eq!((window.limit(), window.in_flight()), (2.0, 0));
    assert!(window.may_send(Priority::LaterPart));
    window.start_request();
    assert!(!window.may_send(Priority::Booking), "two such answers exceed the limit of expected bytes");
    let limit = window.limit();
    window.reset();
    assert!(window.limit() <= limit);
}
