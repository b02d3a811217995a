//! Single rules of docs/maintenance.md, each played once by hand.

mod world;

use load_balancer_maintenance::{
    Blackout, DebitReason, Event, Every, Machine, Outcome, State, Step,
};
use world::budget;
use world::stage::{START_MS, Stage};

#[test]
fn a_death_stops_the_booked_and_calls_back_the_lowest_and_latest_first() {
    let mut stage = Stage::new(budget(1, &[], 3));
    stage.ask("high", &["s0"], |r| r.priority = 2);
    stage.ask("low", &["s1"], |r| r.priority = 1);
    stage.ask("late", &["s2"], |r| r.priority = 1);
    stage.act(&[]);
    assert_eq!(
        ["s0", "s1", "s2"].map(|name| stage.slot(name).state),
        [State::Draining; 3]
    );
    stage.world.kill("s3");
    stage.pass(1_000);
    // The latest grant of the lowest priority; the others may go on, as its server still serves.
    assert_eq!(stage.slot("s2").state, State::CalledBack);
    assert_eq!(
        ["s0", "s1"].map(|name| stage.slot(name).state),
        [State::Draining; 2]
    );
    // While the floor is not seen to hold, nothing further is drained or taken; only ways back are
    // due.
    stage.clear("s0");
    let due: Vec<Step> = stage
        .machine
        .due(stage.world.now)
        .iter()
        .map(|act| act.step)
        .collect();
    assert_eq!(due, [Step::CallBack]);
    stage.act(&[]);
    stage.pass(1_000);
    assert_eq!(
        stage.slot("s2").state,
        State::Booked,
        "it goes when there is room again"
    );
    let due: Vec<Step> = stage
        .machine
        .due(stage.world.now)
        .iter()
        .map(|act| act.step)
        .collect();
    assert_eq!(due, [Step::Take]);
}

#[test]
fn a_server_that_is_late_or_back_under_an_old_start_stays_debited() {
    let mut stage = Stage::new(budget(3, &[], 1));
    stage.ask("one", &["s0"], |_| ());
    stage.ask("two", &["s1"], |_| ());
    stage.act(&[]);
    stage.clear("s0");
    stage.act(&[]);
    assert_eq!(stage.slot("s0").state, State::Away);
    stage.pass(60_000);
    assert_eq!(stage.slot("s0").state, State::Returning);
    stage.act(&[]);
    // What was seen under the start of before is no observation of the return.
    let mut observation = stage.world.observation("s0", 0);
    observation.started -= 1;
    stage.apply(Event::Observations(vec![observation]));
    stage.world.now += 31_000;
    stage.apply(Event::Tick);
    assert!(stage.slot("s0").late);
    let capacity = stage.machine.capacity(0).expect("an agreement");
    assert!(
        capacity
            .debits
            .iter()
            .any(|debit| debit.server == "s0" && debit.why == DebitReason::Late)
    );
    assert_eq!(stage.slot("s1").state, State::Booked);
    stage.observe();
    assert_eq!(
        (stage.slot("s0").state, stage.slot("s1").state),
        (State::Closed, State::Draining)
    );
}

#[test]
fn nothing_is_granted_without_fresh_observations() {
    let mut stage = Stage::new(budget(2, &[], 2));
    stage.world.now += 5_000;
    let outcome = stage.ask("one", &["s0"], |_| ());
    assert!(matches!(outcome, Outcome::Booked { .. }), "{outcome:?}");
    assert_eq!(stage.slot("s0").token, 0);
    stage.observe();
    assert_eq!(stage.slot("s0").state, State::Draining);
    // A leader that hears nothing more drains nothing, also by the state of before.
    assert_eq!(stage.machine.due(stage.world.now).len(), 1);
    assert_eq!(stage.machine.due(stage.world.now + 5_000).len(), 0);
}

#[test]
fn what_is_not_feasible_is_told_with_the_earliest_start_that_is() {
    let mut stage = Stage::new(budget(3, &[], 1));
    stage.ask("one", &["s0"], |_| ());
    let outcome = stage.ask("two", &["s1"], |r| r.latest_ms = START_MS + 100_000);
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
    let outcome = stage.ask("both", &["s1", "s2"], |r| r.split = false);
    let Outcome::Infeasible {
        earliest_ms: None, ..
    } = outcome
    else {
        panic!("{outcome:?}")
    };
    let outcome = stage.ask("three", &["s1"], |r| r.overrun_ms = 60_001);
    assert!(format!("{outcome:?}").contains("overrun_ms"), "{outcome:?}");
}

fn blackout(from: &str, until: &str, every: Every) -> Blackout {
    let moment = |text: &str| text.parse().expect("a date");
    let time_zone = "Europe/Ljubljana".into();
    Blackout {
        name: "VAT".into(),
        time_zone,
        from: moment(from),
        until: moment(until),
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
    let mut stage = Stage::new(agreed.clone());
    let outcome = stage.ask("one", &["s0"], |r| r.latest_ms += 3_600_000);
    let Outcome::Booked { times, .. } = outcome else {
        panic!("{outcome:?}")
    };
    assert_eq!(
        times[0].start_ms,
        Some(START_MS + 3_600_000),
        "75 s are less than length and overrun"
    );
    agreed.overrun_may_enter_blackout = true;
    let mut stage = Stage::new(agreed);
    stage.ask("one", &["s0"], |_| ());
    stage.act(&[]);
    assert_eq!(stage.slot("s0").state, State::Draining);
    stage.pass(59_000);
    assert_eq!(stage.slot("s0").state, State::Draining);
    stage.pass(16_000);
    assert_eq!(stage.slot("s0").state, State::CalledBack);
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
    // March begins at +01:00, June at +02:00: 2027-03-12T23:00Z and 2027-06-12T22:00Z.
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
    let mut stage = Stage::new(agreed);
    stage.ask("first", &["s0"], |r| r.priority = 3);
    stage.ask("patient", &["s1"], |_| ());
    for round in 0..4 {
        let name = format!("eager {round}");
        stage.ask(&name, &["s2"], |r| r.priority = 1);
        stage.pass(61_000);
    }
    let started = |stage: &Stage, server| stage.slot(server).start_ms.expect("a time");
    stage.apply(stage.world.list());
    assert!(started(&stage, "s1") < started(&stage, "s2"));
}

#[test]
fn a_blackout_that_is_agreed_on_later_calls_back_what_would_be_away_in_it() {
    let mut agreed = budget(2, &[], 2);
    agreed.blackouts = vec![blackout(
        "2027-02-15T00:00",
        "2027-02-16T00:00",
        Every::Once,
    )];
    let before = Stage::new(agreed.clone())
        .machine
        .calendar_due(START_MS + 40 * 86_400_000)
        .expect("a calendar");
    let mut stage = Stage::new(agreed.clone());
    stage.ask("one", &["s0"], |r| r.latest_ms += 3_600_000);
    stage.ask("two", &["s1"], |r| r.latest_ms += 3_600_000);
    stage.act(&[]);
    stage.clear("s0");
    stage.act(&[]);
    // In half of the windows' length from now on; what is away already runs to its end.
    agreed.blackouts = vec![blackout(
        "2027-01-15T09:00:30",
        "2027-01-15T09:10",
        Every::Once,
    )];
    stage.apply(Event::DisruptionBudget(agreed));
    let (window, epoch) = (stage.machine.windows()[1].window, stage.slot("s1").token);
    stage.apply(Event::Clear {
        window,
        server: "s1".into(),
        epoch,
    });
    assert_eq!(
        stage.machine.due(START_MS),
        [],
        "nobody knows the blackouts' times yet"
    );
    let calendar = stage.machine.calendar_due(START_MS).expect("a calendar");
    assert_eq!(
        stage.apply(before),
        Outcome::Ignored,
        "the times of another agreement's"
    );
    stage.apply(calendar);
    assert_eq!(
        (stage.slot("s0").state, stage.slot("s1").state),
        (State::Away, State::CalledBack)
    );
    stage.act(&[]);
    stage.pass(1_000);
    assert_eq!(stage.slot("s1").start_ms, Some(START_MS + 600_000));
}

#[test]
fn a_list_that_is_empty_for_a_moment_gives_up_no_server() {
    let mut stage = Stage::new(budget(3, &[], 1));
    stage.ask("one", &["s0"], |_| ());
    stage.act(&[]);
    stage.clear("s0");
    stage.act(&[]);
    // Nobody answers to the return for longer than its time and a repair.
    stage.pass(200_000);
    assert!(stage.slot("s0").late);
    stage.apply(Event::Servers(Vec::new()));
    assert_eq!(stage.slot("s0").state, State::Returning);
    stage.apply(stage.world.list());
    stage.observe();
    let due: Vec<Step> = stage
        .machine
        .due(stage.world.now)
        .iter()
        .map(|act| act.step)
        .collect();
    assert_eq!(due, [Step::Return]);
    // One that is gone from the list for the time of a repair is nobody's any more.
    let rest = |stage: &Stage| match stage.world.list() {
        Event::Servers(list) => {
            Event::Servers(list.into_iter().filter(|s| s.name != "s0").collect())
        }
        other => other,
    };
    stage.apply(rest(&stage));
    stage.pass(60_000);
    assert_eq!(stage.slot("s0").state, State::Returning);
    stage.pass(1_000);
    assert_eq!(stage.slot("s0").state, State::Closed);
}
