//! Single rules of docs/maintenance.md, each driven by hand.

mod world;

use load_balancer_maintenance::{
    Blackout, DebitReason, Event, Every, Machine, Outcome, State, Step,
};
use world::budget;
use world::scenario::{START_MS, Scenario};

#[test]
fn a_death_stops_the_booked_and_calls_back_the_lowest_and_latest_first() {
    let mut scenario = Scenario::new(budget(1, &[], 3));
    scenario.request_window("high", &["s0"], |r| r.priority = 2);
    scenario.request_window("low", &["s1"], |r| r.priority = 1);
    scenario.request_window("late", &["s2"], |r| r.priority = 1);
    scenario.perform_due(&[]);
    assert_eq!(
        ["s0", "s1", "s2"].map(|name| scenario.slot(name).state),
        [State::Draining; 3]
    );
    scenario.world.kill("s3");
    scenario.advance(1_000);
    // The latest admission of the lowest priority is cancelled; the others continue, as that server
    // still serves.
    assert_eq!(scenario.slot("s2").state, State::CalledBack);
    assert_eq!(
        ["s0", "s1"].map(|name| scenario.slot(name).state),
        [State::Draining; 2]
    );
    // While the floor is not observed to hold, no further drain or take is due; only returns and
    // cancellations are.
    scenario.clear_drain("s0");
    let due: Vec<Step> = scenario
        .machine
        .due(scenario.world.now)
        .iter()
        .map(|act| act.step)
        .collect();
    assert_eq!(due, [Step::CallBack]);
    scenario.perform_due(&[]);
    scenario.advance(1_000);
    assert_eq!(
        scenario.slot("s2").state,
        State::Booked,
        "it is drained when there is capacity again"
    );
    let due: Vec<Step> = scenario
        .machine
        .due(scenario.world.now)
        .iter()
        .map(|act| act.step)
        .collect();
    assert_eq!(due, [Step::Take]);
}

#[test]
fn a_server_that_is_late_or_back_under_an_old_start_stays_debited() {
    let mut scenario = Scenario::new(budget(3, &[], 1));
    scenario.request_window("one", &["s0"], |_| ());
    scenario.request_window("two", &["s1"], |_| ());
    scenario.perform_due(&[]);
    scenario.clear_drain("s0");
    scenario.perform_due(&[]);
    assert_eq!(scenario.slot("s0").state, State::Away);
    scenario.advance(60_000);
    assert_eq!(scenario.slot("s0").state, State::Returning);
    scenario.perform_due(&[]);
    // An observation of the earlier process does not show the return.
    let mut observation = scenario.world.observation("s0", 0);
    observation.started -= 1;
    scenario.apply(Event::Observations(vec![observation]));
    scenario.world.now += 31_000;
    scenario.apply(Event::Tick);
    assert!(scenario.slot("s0").late);
    let capacity = scenario.machine.capacity(0).expect("an agreement");
    assert!(
        capacity
            .debits
            .iter()
            .any(|debit| debit.server == "s0" && debit.why == DebitReason::Late)
    );
    assert_eq!(scenario.slot("s1").state, State::Booked);
    scenario.observe();
    assert_eq!(
        (scenario.slot("s0").state, scenario.slot("s1").state),
        (State::Closed, State::Draining)
    );
}

#[test]
fn nothing_is_granted_without_fresh_observations() {
    let mut scenario = Scenario::new(budget(2, &[], 2));
    scenario.world.now += 5_000;
    let outcome = scenario.request_window("one", &["s0"], |_| ());
    assert!(matches!(outcome, Outcome::Booked { .. }), "{outcome:?}");
    assert_eq!(scenario.slot("s0").token, 0);
    scenario.observe();
    assert_eq!(scenario.slot("s0").state, State::Draining);
    // A leader without recent observations drains nothing, even for admitted slots.
    assert_eq!(scenario.machine.due(scenario.world.now).len(), 1);
    assert_eq!(scenario.machine.due(scenario.world.now + 5_000).len(), 0);
}

#[test]
fn what_is_not_feasible_is_told_with_the_earliest_start_that_is() {
    let mut scenario = Scenario::new(budget(3, &[], 1));
    scenario.request_window("one", &["s0"], |_| ());
    let outcome = scenario.request_window("two", &["s1"], |r| r.latest_ms = START_MS + 100_000);
    let Outcome::Infeasible {
        reason,
        earliest_ms,
        ..
    } = outcome
    else {
        panic!("{outcome:?}")
    };
    assert!(reason.contains("most_away"), "{reason}");
    assert_eq!(earliest_ms, Some(START_MS + 90_000));
    let outcome = scenario.request_window("both", &["s1", "s2"], |r| r.split = false);
    let Outcome::Infeasible {
        earliest_ms: None, ..
    } = outcome
    else {
        panic!("{outcome:?}")
    };
    let outcome = scenario.request_window("three", &["s1"], |r| r.overrun_ms = 60_001);
    assert!(format!("{outcome:?}").contains("overrun_ms"), "{outcome:?}");
}

fn blackout(from: &str, until: &str, every: Every) -> Blackout {
    let time = |text: &str| text.parse().expect("a date");
    let time_zone = "Europe/Ljubljana".into();
    Blackout {
        name: "VAT".into(),
        time_zone,
        from: time(from),
        until: time(until),
        every,
    }
}

#[test]
fn a_blackout_inside_the_overrun_moves_a_window_and_calls_back_what_drains() {
    // START_MS is 2027-01-15T08:00Z, 09:00 in Ljubljana.
    let mut agreed = budget(3, &[], 1);
    agreed.blackouts = vec![blackout(
        "2026-12-15T09:01:15",
        "2026-12-15T10:00",
        Every::Month,
    )];
    let mut scenario = Scenario::new(agreed.clone());
    let outcome = scenario.request_window("one", &["s0"], |r| r.latest_ms += 3_600_000);
    let Outcome::Booked { times, .. } = outcome else {
        panic!("{outcome:?}")
    };
    assert_eq!(
        times[0].start_ms,
        Some(START_MS + 3_600_000),
        "75 s are less than length and overrun"
    );
    agreed.overrun_may_enter_blackout = true;
    let mut scenario = Scenario::new(agreed);
    scenario.request_window("one", &["s0"], |_| ());
    scenario.perform_due(&[]);
    assert_eq!(scenario.slot("s0").state, State::Draining);
    scenario.advance(59_000);
    assert_eq!(scenario.slot("s0").state, State::Draining);
    scenario.advance(16_000);
    assert_eq!(scenario.slot("s0").state, State::CalledBack);
}

#[test]
fn blackouts_follow_the_clocks_of_their_zone() {
    let mut agreed = budget(3, &[], 1);
    agreed.blackouts = vec![blackout(
        "2026-03-13T00:00",
        "2026-03-21T00:00",
        Every::Quarter,
    )];
    assert_eq!(agreed.check(), Ok(()));
    let mut machine = Machine::new();
    machine.apply(START_MS, Event::DisruptionBudget(agreed.clone()));
    let Some(Event::Calendar { spans, .. }) = machine.calendar_due(START_MS) else {
        panic!("no calendar")
    };
    // March is at +01:00, June at +02:00: 2027-03-12T23:00Z and 2027-06-12T22:00Z.
    assert_eq!(
        [spans[0].from_ms, spans[1].from_ms],
        [1_804_892_400_000, 1_812_837_600_000]
    );
    agreed.blackouts[0].time_zone = "Europe/Nowhere".into();
    let error = agreed.check().expect_err("no such zone").to_string();
    assert!(error.starts_with("blackouts[0].time_zone: "), "{error}");
}

#[test]
fn who_has_waited_gains_priority() {
    let mut agreed = budget(3, &[], 1);
    agreed.patience_ms = 60_000;
    let mut scenario = Scenario::new(agreed);
    scenario.request_window("first", &["s0"], |r| r.priority = 3);
    scenario.request_window("patient", &["s1"], |_| ());
    for round in 0..4 {
        let name = format!("eager {round}");
        scenario.request_window(&name, &["s2"], |r| r.priority = 1);
        scenario.advance(61_000);
    }
    let started = |scenario: &Scenario, server| scenario.slot(server).start_ms.expect("a time");
    scenario.apply(scenario.world.list());
    assert!(started(&scenario, "s1") < started(&scenario, "s2"));
}

#[test]
fn a_blackout_that_is_agreed_on_later_calls_back_what_would_be_away_in_it() {
    let mut agreed = budget(2, &[], 2);
    agreed.blackouts = vec![blackout(
        "2027-02-15T00:00",
        "2027-02-16T00:00",
        Every::Once,
    )];
    let before = Scenario::new(agreed.clone())
        .machine
        .calendar_due(START_MS + 40 * 86_400_000)
        .expect("a calendar");
    let mut scenario = Scenario::new(agreed.clone());
    scenario.request_window("one", &["s0"], |r| r.latest_ms += 3_600_000);
    scenario.request_window("two", &["s1"], |r| r.latest_ms += 3_600_000);
    scenario.perform_due(&[]);
    scenario.clear_drain("s0");
    scenario.perform_due(&[]);
    // A blackout within half of the windows' length from now; what is away already runs to its end.
    agreed.blackouts = vec![blackout(
        "2027-01-15T09:00:30",
        "2027-01-15T09:10",
        Every::Once,
    )];
    scenario.apply(Event::DisruptionBudget(agreed));
    let (window, epoch) = (
        scenario.machine.windows()[1].window,
        scenario.slot("s1").token,
    );
    scenario.apply(Event::Clear {
        window,
        server: "s1".into(),
        epoch,
    });
    assert_eq!(
        scenario.machine.due(START_MS),
        [],
        "the blackouts' spans are not yet known"
    );
    let calendar = scenario.machine.calendar_due(START_MS).expect("a calendar");
    assert_eq!(
        scenario.apply(before),
        Outcome::Ignored,
        "the spans of another disruption budget"
    );
    scenario.apply(calendar);
    assert_eq!(
        (scenario.slot("s0").state, scenario.slot("s1").state),
        (State::Away, State::CalledBack)
    );
    scenario.perform_due(&[]);
    scenario.advance(1_000);
    assert_eq!(scenario.slot("s1").start_ms, Some(START_MS + 600_000));
}

#[test]
fn a_list_that_is_empty_for_a_moment_gives_up_no_server() {
    let mut scenario = Scenario::new(budget(3, &[], 1));
    scenario.request_window("one", &["s0"], |_| ());
    scenario.perform_due(&[]);
    scenario.clear_drain("s0");
    scenario.perform_due(&[]);
    // The return gets no answer for longer than the window and the repair time.
    scenario.advance(200_000);
    assert!(scenario.slot("s0").late);
    scenario.apply(Event::Servers(Vec::new()));
    assert_eq!(scenario.slot("s0").state, State::Returning);
    scenario.apply(scenario.world.list());
    scenario.observe();
    let due: Vec<Step> = scenario
        .machine
        .due(scenario.world.now)
        .iter()
        .map(|act| act.step)
        .collect();
    assert_eq!(due, [Step::Return]);
    // A server missing from the list for the whole repair time is no longer counted.
    let list_without_s0 = |scenario: &Scenario| match scenario.world.list() {
        Event::Servers(list) => {
            Event::Servers(list.into_iter().filter(|s| s.name != "s0").collect())
        }
        other => other,
    };
    scenario.apply(list_without_s0(&scenario));
    scenario.advance(60_000);
    assert_eq!(scenario.slot("s0").state, State::Returning);
    scenario.advance(1_000);
    assert_eq!(scenario.slot("s0").state, State::Closed);
}
