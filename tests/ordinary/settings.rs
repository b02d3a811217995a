//! Invalid settings.

use crate::common::*;
use load_balancer::*;

#[test]
fn invalid_settings_are_an_error() {
    let spoil = |f: fn(&mut Settings)| {
        let mut settings = default_settings();
        f(&mut settings);
        Balancer::new(settings, 1).is_err()
    };
    assert!(spoil(|s| s.classes.clear()));
    assert!(spoil(|s| s.classes[0].latency_objective = 0));
    assert!(spoil(|s| s.rules.cold_capacity = f64::NAN));
    assert!(spoil(|s| s.rules.warmup_time = -1));
    assert!(spoil(|s| s.limits.max_attempts = 0));
    assert!(!spoil(|_| ()));
}

#[test]
fn an_error_of_settings_names_the_setting() {
    type Spoil = fn(&mut Settings);
    let spoilt: [(Spoil, &str); 8] = [
        (|s| s.classes.clear(), "classes"),
        (|s| s.classes[1].latency_objective = 0, "aim"),
        (|s| s.classes[0].deadline = -1, "deadline"),
        (
            |s| s.classes[2].objective_per_work = f64::NAN,
            "aim_stretch",
        ),
        (|s| s.limits.max_attempts = 0, "max_attempts"),
        (|s| s.rules.cold_capacity = f64::INFINITY, "cold_share"),
        (|s| s.rules.overload_window = Micros::MAX, "tip_after"),
        (|s| s.clock_granularity = -5, "tick"),
    ];
    for (spoil, word) in spoilt {
        let mut settings = default_settings();
        spoil(&mut settings);
        let error = Balancer::new(settings, 1).err().expect(word).to_string();
        assert!(error.contains(word), "{error}");
    }
}
