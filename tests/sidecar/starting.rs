//! Starts that fail, and a log without a reader.

use crate::ok;
use crate::stubs::*;
use socket2::{Domain, Socket, Type};
use std::io::ErrorKind;
use std::net::{TcpListener, TcpStream};
use std::process::{Command, Stdio};

#[test]
fn an_invalid_configuration_ends_the_start_with_a_one_line_message() {
    let address = "127.0.0.1:9".parse().expect("an address");
    let good = config(address, address, "null");
    let texts = [
        "",
        "{}",
        &good.replace("\"side_effect\"", "\"odd\""),
        &good.replace("1024", "3"),
    ];
    let paths: Vec<_> = texts.iter().map(|text| Some(config_file(text))).collect();
    for path in paths
        .into_iter()
        .chain([None, Some("/nonexistent/config.json".into())])
    {
        let mut command = Command::new(env!("CARGO_BIN_EXE_sidecar"));
        match &path {
            Some(path) => command.env("LB_CONFIG", path),
            None => command.env_remove("LB_CONFIG"),
        };
        let output = command.stdin(Stdio::null()).output().expect("it starts");
        let said = String::from_utf8(output.stderr).expect("text");
        assert_eq!(output.status.code(), Some(1), "{said}");
        assert!(
            said.starts_with("sidecar: ") && said.lines().count() == 1,
            "{said}"
        );
    }
}

// The reader of the log may exit; a serving sidecar must not exit with it.
#[test]
fn a_closed_standard_error_does_not_end_the_process() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| ok("served"));
    let mut sidecar = Sidecar::start_adapted(
        &discovery,
        &[("s-1", &endpoint)],
        1024,
        |c| c,
        |command| {
            command.stderr(Stdio::piped());
        },
    );
    drop(sidecar.process.stderr.take().expect("it is a pipe"));
    // Writes a line, as the file can't be read.
    sidecar.reconfigure(|_| "{".to_owned());
    // The successful reload shows that the line before it was written without a reader.
    let other = Discovery::start();
    other.publish(1, list(1, true, &[("s-1", endpoint.address, "active")]));
    let to = config(sidecar.address, other.address, "null");
    sidecar.reconfigure(|_| to.clone());
    wait_until("discovery is followed", || {
        !other.calls().is_empty() || sidecar.process.id() == 0
    });
    assert_eq!(
        sidecar
            .ask(&request("book", "", ""))
            .expect("an answer")
            .status(),
        200
    );
}

// A port that was only looked up and released would be in use for some of the sidecars that should
// listen there.
#[test]
fn a_reserved_address_is_unavailable_to_others_until_a_sidecar_listens_there() {
    let at = unused_address();
    let refused = TcpStream::connect(at).expect_err("nobody listens").kind();
    assert_eq!(refused, ErrorKind::ConnectionRefused);
    // A process that does not set reuse asks for a port like the system does for a free one.
    let other = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    assert_eq!(
        other.bind(&at.into()).expect_err("it is kept").kind(),
        ErrorKind::AddrInUse
    );
    let _listener = TcpListener::bind(at).expect("it is kept for a listener that allows reuse");
    TcpStream::connect(at).expect("it listens");
}
