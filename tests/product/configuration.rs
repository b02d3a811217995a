//! The command line, the product configuration and its reload.

use crate::harness::*;
use crate::stubs::*;
use std::thread;

#[test]
fn help_version_and_invalid_arguments_have_their_exit_codes() {
    let help = run(&["--help"], &[]);
    let text = String::from_utf8(help.stdout).expect("text");
    assert_eq!(help.status.code(), Some(0));
    for word in ["--config", "--check", "LOAD_BALANCER_CONFIG", "Exit codes:"] {
        assert!(text.contains(word), "{word} is not in\n{text}");
    }
    let version = run(&["--version"], &[]);
    assert!(
        String::from_utf8(version.stdout)
            .expect("text")
            .starts_with("sidecar 0.")
    );
    assert_eq!(run(&["--confg", "a"], &[]).status.code(), Some(64));
}

#[test]
fn an_invalid_product_configuration_ends_the_start_with_file_line_and_key() {
    for (text, place) in [
        (
            "[metrics]\naddres = \"127.0.0.1:1\"\n",
            ":2: metrics.addres: unknown field",
        ),
        (
            "[log]\n\nbuffer = \"64s\"\n",
            ":3: log.buffer: \"64s\" is not a size",
        ),
        ("[metrics]\ntimeout = \"0s\"\n", ":2: metrics.timeout: "),
        (
            "[log]\nlevel = \"loud\"\n",
            ":2: log.level: unknown variant",
        ),
        ("[log]\nlevel = \"in", ":2: "),
    ] {
        let file = File::new(text);
        let path = file.0.to_str().expect("a path of text");
        for output in [
            run(&["--config", path], &[]),
            run(&["--check"], &[("LOAD_BALANCER_CONFIG", path)]),
            run(&["--check"], &[("LINENPROXY_CONFIG", path)]),
        ] {
            let said = String::from_utf8(output.stderr).expect("text");
            assert_eq!(output.status.code(), Some(78), "{said}");
            assert!(
                said.starts_with(&format!("sidecar: {path}{place}")),
                "{said}"
            );
            assert_eq!(said.lines().count(), 1, "{said}");
        }
    }
}

#[test]
fn a_check_prints_the_effective_configuration_and_reads_the_platforms_file_too() {
    let file = File::new("[metrics]\nreaders = 7\n");
    let path = file.0.to_str().expect("a path of text");
    let output = run(&["--check", "--config", path], &[]);
    let text = String::from_utf8(output.stdout).expect("text");
    assert_eq!(output.status.code(), Some(0));
    for line in [
        "readers = 7",
        "enabled = false",
        "level = \"info\"",
        "buffer = \"64KiB\"",
    ] {
        assert!(text.lines().any(|l| l == line), "{line} is not in\n{text}");
    }
    // The output is a valid configuration itself.
    let again = File::new(&text);
    let repeated = run(
        &[
            "--check",
            "--config",
            again.0.to_str().expect("a path of text"),
        ],
        &[],
    );
    assert_eq!(String::from_utf8(repeated.stdout).expect("text"), text);

    let address = "127.0.0.1:9".parse().expect("an address");
    let (good, bad) = (
        File::new(&config(address, address, "null")),
        File::new("{}"),
    );
    let with = |platform: &File| {
        run(
            &["--check"],
            &[("LB_CONFIG", platform.0.to_str().expect("text"))],
        )
    };
    assert!(
        String::from_utf8(with(&good).stdout)
            .expect("text")
            .contains("can be used: listen 127.0.0.1:9")
    );
    assert_eq!(with(&bad).status.code(), Some(78));
}

// Product configurations from before the keys were renamed.
#[test]
fn earlier_keys_are_equivalent_to_the_current_ones() {
    let checked = |text: &str| {
        let file = File::new(text);
        let output = run(
            &["--check", "--config", file.0.to_str().expect("text")],
            &[],
        );
        assert_eq!(output.status.code(), Some(0), "{output:?}");
        String::from_utf8(output.stdout).expect("text")
    };
    let earlier = "[fleet.verdicts]\nbound = \"11s\"\nwitnesses = 4\nmost_out = 0.4\nrest = \"2s\"\n\
        [fleet.affinity]\nenabled = true\nahead = 3.0\n[fleet.standing]\nenabled = true\n\
        [fleet.bindings]\nenabled = true\nlife_new = \"13s\"\nlife_held = \"37s\"\nspread = \"4s\"\n\
        moving = \"9s\"\nsilence = \"5s\"\nwords_per_s = 51.0\n\
        [state]\nevery = \"600ms\"\nlist_bound = \"11m\"\nverdicts_bound = \"2m\"\nwait = \"300ms\"\n";
    let today = "[fleet.ejection]\nmax_staleness = \"11s\"\nmin_reporters = 4\nmax_ejected = 0.4\n\
        ejection_time = \"2s\"\n[fleet.affinity]\nenabled = true\nmax_ahead = 3.0\n\
        [fleet.connectivity]\nenabled = true\n[fleet.affinity_entries]\nenabled = true\n\
        first_lifetime = \"13s\"\nrenewed_lifetime = \"37s\"\ndissemination_time = \"4s\"\n\
        migration_time = \"9s\"\ncontact_timeout = \"5s\"\nupdates_per_s = 51.0\n\
        [snapshot]\ninterval = \"600ms\"\nlist_max_staleness = \"11m\"\nhealth_max_staleness = \"2m\"\n\
        start_timeout = \"300ms\"\n";
    let written = checked(today);
    assert_eq!(checked(earlier), written);
    assert!(written.contains("min_reporters = 4"), "{written}");
}

// The file as a writer has it when the signal arrives: truncated, and later complete.
#[test]
fn a_reload_applies_a_complete_file_or_nothing() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| served());
    let at = unused_address();
    let whole = metrics(at, "readers = 3\n") + "[log]\nlevel = \"info\"\n";
    let file = File::new(&whole);
    let (sidecar, said) = start(&discovery, &endpoint, &file);
    file.write(&whole.replace("\"info\"", "\"deb"));
    sidecar.signal("-HUP");
    wait_until("the cut file is refused", || {
        said.count("reload failed, the old product configuration stays") == 1
    });
    assert_eq!(ask(&sidecar), 200);
    assert_eq!(said.count("debug:"), 0, "half of a file was taken in");
    file.write(
        &whole
            .replace("\"info\"", "\"debug\"")
            .replace("readers = 3", "readers = 2"),
    );
    sidecar.signal("-HUP");
    let taken = "product configuration reloaded: log.level, metrics.readers changed\n";
    wait_until("the whole file is taken in", || said.count(taken) == 1);
    assert_eq!(ask(&sidecar), 200);
    wait_until("each line of a request has its id", || {
        said.count("debug: answered id=\"9b1f03aa\"") == 1
    });
    let other = unused_address();
    file.write(&whole.replace(&at.to_string(), &other.to_string()));
    sidecar.signal("-HUP");
    let waits =
        "reloaded: log.level, metrics.readers changed; metrics.address waits for a restart\n";
    wait_until("what waits is named", || said.count(waits) == 1);
    assert!(
        page(at, "/metrics").contains("sidecar_requests_total"),
        "the old address stays"
    );
}

#[test]
fn ten_signals_in_a_burst_lose_no_answer() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| served());
    let file = File::new("[log]\nlevel = \"warn\"\n");
    let (sidecar, said) = start(&discovery, &endpoint, &file);
    thread::scope(|scope| {
        scope.spawn(|| (0..10).for_each(|_| sidecar.signal("-HUP")));
        for _ in 0..50 {
            assert_eq!(ask(&sidecar), 200);
        }
    });
    file.write("[log]\nlevel = \"info\"\n");
    sidecar.signal("-HUP");
    wait_until("the last one is followed", || {
        said.count("reloaded: log.level changed") == 1
    });
}
