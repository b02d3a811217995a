//! Log lines.

use crate::harness::*;
use crate::stubs::*;
use std::io::Read;

#[test]
fn without_a_product_configuration_the_log_lines_are_unchanged() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| served());
    let file = File::new("");
    let (sidecar, said) = start(&discovery, &endpoint, &file);
    assert_eq!(ask(&sidecar), 200);
    sidecar.terminate();
    wait_until("it says so", || said.text() == "sidecar: told to stop\n");
}

#[test]
fn lines_are_json_where_that_is_configured() {
    request_lines_in_json("sidecar::request");
}

// Product configurations from before the program was renamed.
#[test]
fn a_log_target_with_the_programs_earlier_name_is_accepted() {
    request_lines_in_json("tinflow::request");
}

/// Configures JSON lines and the debug level of `target`, and checks the lines of one request.
fn request_lines_in_json(target: &str) {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| served());
    let file = File::new(&format!(
        "[log]\nformat = \"json\"\ntargets = {{ \"{target}\" = \"debug\" }}\n"
    ));
    let (sidecar, said) = start(&discovery, &endpoint, &file);
    assert_eq!(ask(&sidecar), 200);
    sidecar.terminate();
    wait_until("the last line is there", || said.count("told to stop") == 1);
    let lines: Vec<serde_json::Value> = said
        .text()
        .lines()
        .map(|line| serde_json::from_str(line).expect(line))
        .collect();
    let of_request: Vec<_> = lines
        .iter()
        .filter(|l| l["target"] == "sidecar::request")
        .collect();
    let words: Vec<_> = of_request
        .iter()
        .map(|l| l["message"].as_str().expect("words"))
        .collect();
    assert_eq!(words, ["taken", "sent", "attempt ended", "answered"]);
    assert!(
        of_request
            .iter()
            .all(|l| l["id"] == "9b1f03aa" && l["level"] == "DEBUG")
    );
    assert_eq!(lines.last().expect("a line")["message"], "told to stop");
}

// Nothing reads the pipe: at four lines per request it is full long before the last request.
#[test]
fn a_blocked_standard_error_loses_log_lines_but_no_answer() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| served());
    let file = File::new("[log]\nlevel = \"debug\"\nbuffer = \"1KiB\"\n");
    let mut sidecar = start_piped("", &discovery, &endpoint, &file.0);
    for _ in 0..1000 {
        assert_eq!(ask(&sidecar), 200);
    }
    let mut pipe = sidecar.process.stderr.take().expect("it is a pipe");
    // Its capacity is 64 KiB; the other lines of 1,000 requests are dropped. Once it is read, lines
    // appear again, with the count.
    let mut pipe = run_with_timeout("the pipe is filled", move || {
        pipe.read_exact(&mut vec![0; 48 << 10])
            .expect("it was filled");
        pipe
    });
    assert_eq!(ask(&sidecar), 200);
    sidecar.terminate();
    let rest = run_with_timeout("the process ends", move || {
        let mut rest = String::new();
        pipe.read_to_string(&mut rest).expect("text until it ends");
        rest
    });
    assert!(
        rest.contains("lines dropped, standard error did not take them\n"),
        "{rest}"
    );
    assert!(rest.ends_with("sidecar: told to stop\n"), "{rest}");
    assert!(
        rest.lines()
            .skip(1)
            .all(|line| line.starts_with("sidecar: ")),
        "a line is not whole: {rest}"
    );
}
