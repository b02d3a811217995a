//! A short play with three real stewards and a window, whose leader is killed while a server drains: judged by the
//! auditors, and by what came to pass. Changes with what stewards promise to a platform.

use linenproxy_common::units::Time;
use linenproxy_lab::draw::draw;
use linenproxy_lab::experiment::{
    Agreed, Carried, Experiment, StewardFault, StewardFaultKind, Stewards, Variant, Who, Window,
};
use linenproxy_lab::outcome::Measure;
use linenproxy_lab::play::{Launch, Progress, play};
use linenproxy_lab::record::Record;
use linenproxy_lab::supervisor::Bringing;
use std::sync::Arc;
use tokio::sync::watch;

/// Two servers of six are to be away; by the agreement one at a time.
fn experiment() -> Experiment {
    let mut experiment = Experiment { name: "window".to_owned(), ..Experiment::default() };
    (experiment.topology.sidecars, experiment.topology.servers) = (3, 6);
    (experiment.load.lasts, experiment.load.warmup, experiment.load.work) =
        (Time::ms(45_000), Time::ms(0), 0.3);
    // A drain is over once all lists have told of it.
    experiment.network.list_delay = [Time::ms(100), Time::ms(200)];
    experiment.window = vec![Window {
        at: Time::ms(1000),
        zone: None,
        servers: 2,
        times: 1,
        length: Time::ms(7000),
        overrun: Time::ms(0),
        latest: Some(Time::ms(300_000)),
        priority: 0,
        split: true,
    }];
    experiment.agreement = Some(Agreed {
        keep: 0.5,
        keep_zone: 0.0,
        most_away: 1,
        answered_within: Time::ms(8000),
        blackout: Vec::new(),
        overrun_may_enter_blackout: false,
    });
    let fault = StewardFault {
        kind: StewardFaultKind::Kill,
        who: Who::Leader,
        at: Time::ms(1000),
        on: Some("draining".to_owned()),
        lasts: Time::ms(2000),
    };
    let config = "[evidence]\nperiod = \"500ms\"\nwarm_after = \"7400ms\"\n".to_owned();
    experiment.stewards = Some(Stewards { fault: vec![fault], config, ..Stewards::default() });
    experiment
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_window_goes_on_at_its_step_after_the_leader_was_killed_while_a_server_drained() {
    let experiment = experiment();
    let own = std::env::current_exe().expect("a test is a program");
    let built = own.parent().and_then(|deps| deps.parent()).expect("it lies in the folder of the build");
    let program = built.join("tinflow");
    for program in [&program, &built.join("linenproxy-steward")] {
        assert!(program.is_file(), "{} is not built: test the whole workspace", program.display());
    }
    let plan = Arc::new(draw(&experiment, 7));
    let variant = Variant { windows: Carried::Asked, ..Variant::default() };
    let launch = Launch::Program(Bringing::plain(program));
    let folder = tempfile::tempdir().expect("a folder");
    let (sender, _progress) = watch::channel(Progress::default());
    let record = Record::default();
    let played = play(&experiment, &plan, &variant, &launch, folder.path(), &sender, &record).await;
    let tally = played.expect("it is played");
    assert_eq!(tally.findings, []);
    let measures = [Measure::StewardFaults, Measure::Maintained, Measure::CapacityBreaches];
    assert_eq!(measures.map(|measure| tally.measures[&measure]), [1.0, 1.0, 0.0]);
    // One was away at a time.
    assert!(tally.measures[&Measure::LeastCapacity] > 0.5 && tally.measures[&Measure::LeastCapacity] < 1.0);
    let leaders = (0..3).filter(|number| {
        let log = std::fs::read_to_string(folder.path().join(format!("s{number}.log")));
        log.expect("its log is kept").contains("leads now")
    });
    assert!(leaders.count() >= 2, "another one went on");
}
