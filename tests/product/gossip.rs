//! Membership in a fleet.

use crate::harness::*;
use crate::stubs::*;
use std::collections::BTreeSet;
use std::net::SocketAddr;

fn member(listen: SocketAddr, seed: SocketAddr, page: SocketAddr) -> File {
    let fleet = format!("[fleet]\nenabled = true\nlisten = \"{listen}\"\nseeds = [\"{seed}\"]\n");
    File::new(&metrics(page, &fleet))
}

/// Number of datagram sockets of a process.
fn datagram_sockets(process: u32) -> usize {
    let table = std::fs::read_to_string("/proc/net/udp").expect("it is there");
    let inodes: Vec<String> = table
        .lines()
        .skip(1)
        .filter_map(|l| Some(format!("socket:[{}]", l.split_whitespace().nth(9)?)))
        .collect();
    let held = std::fs::read_dir(format!("/proc/{process}/fd"))
        .expect("it runs")
        .flatten();
    let held = held.filter_map(|fd| {
        std::fs::read_link(fd.path())
            .ok()?
            .into_os_string()
            .into_string()
            .ok()
    });
    held.filter(|socket| inodes.contains(socket))
        .collect::<BTreeSet<_>>()
        .len()
}

#[test]
fn members_find_each_other_and_a_member_that_shuts_down_leaves_at_once() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| served());
    let [one, two] = [unused_datagram_address(), unused_datagram_address()];
    let pages = [unused_address(), unused_address()];
    let files = [member(one, two, pages[0]), member(two, one, pages[1])];
    let (first, _said) = start_named("one", &discovery, &endpoint, &files[0]);
    let (second, _said) = start_named("two", &discovery, &endpoint, &files[1]);
    for (at, other) in [(pages[0], "two"), (pages[1], "one")] {
        wait_until("the other is known", || {
            page(at, "/fleet").contains(&format!("\"name\": \"{other}\",\n      \"zone\""))
        });
        wait_until("it is counted", || {
            page(at, "/metrics").contains("sidecar_fleet_members 1")
        });
    }
    assert_eq!((ask(&first), ask(&second)), (200, 200));
    wait_until("a steward is told of the server that was served", || {
        let told = page(pages[0], "/fleet/servers");
        told.contains("\"member\":\"one\"") && told.contains("\"state\":\"well\"")
    });
    assert_eq!(datagram_sockets(first.process.id()), 1);
    second.terminate();
    wait_until("it has left", || {
        page(pages[0], "/metrics").contains("sidecar_fleet_members 0")
    });
    assert_eq!(ask(&first), 200);
}

#[test]
fn a_member_reports_its_connectivity_other_versions_and_server_health() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| served());
    let [one, two] = [unused_datagram_address(), unused_datagram_address()];
    let pages = [unused_address(), unused_address()];
    let file = |listen, seed, page| {
        let fleet =
            format!("[fleet]\nenabled = true\nlisten = \"{listen}\"\nseeds = [\"{seed}\"]\n");
        File::new(&metrics(
            page,
            &(fleet + "[fleet.standing]\nenabled = true\n"),
        ))
    };
    let files = [file(one, two, pages[0]), file(two, one, pages[1])];
    let (first, said) = start_named("one", &discovery, &endpoint, &files[0]);
    wait_until("it is alone", || {
        page(pages[0], "/fleet/servers").contains("\"answers\":false")
    });
    let (second, _said) = start_named("two", &discovery, &endpoint, &files[1]);
    wait_until("it says that it is whole", || {
        said.count("connectivity: connected") == 1
    });
    let version = format!("\"version\": \"{}\"", env!("CARGO_PKG_VERSION"));
    wait_until("the other's version is known", || {
        page(pages[0], "/fleet").contains(&version)
    });
    assert_eq!((ask(&first), ask(&second)), (200, 200));
    wait_until("what has served is well", || {
        let page = page(pages[0], "/fleet/servers");
        page.contains("\"answers\":true") && page.contains("\"state\":\"well\"")
    });
}

#[test]
fn without_a_fleet_there_is_neither_socket_nor_page() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| served());
    let at = unused_address();
    let file = File::new(&metrics(at, "[fleet]\nenabled = false\n"));
    let (sidecar, _said) = start(&discovery, &endpoint, &file);
    assert_eq!(ask(&sidecar), 200);
    for path in ["/fleet", "/fleet/servers"] {
        assert!(page(at, path).starts_with("HTTP/1.1 404 "), "{path}");
    }
    assert!(!page(at, "/metrics").contains("fleet"));
    assert_eq!(datagram_sockets(sidecar.process.id()), 0);
}

#[test]
fn a_fleet_without_a_name_or_with_an_address_in_use_ends_the_start() {
    let holder = std::net::UdpSocket::bind("127.0.0.1:0").expect("a free port");
    let at = holder.local_addr().expect("an address");
    let file = File::new(&format!("[fleet]\nenabled = true\nlisten = \"{at}\"\n"));
    let platform = File::new(&config(unused_address(), unused_address(), "null"));
    let paths = [&file, &platform].map(|f| f.0.to_str().expect("text").to_owned());
    for (name, code, words) in [
        (
            "a",
            69,
            format!("sidecar: cannot listen on fleet.listen {at}: "),
        ),
        ("", 78, "sidecar: fleet.enabled needs a name".to_owned()),
    ] {
        let output = run(
            &["--config", &paths[0]],
            &[("LB_CONFIG", &paths[1]), ("LB_NAME", name)],
        );
        let said = String::from_utf8(output.stderr).expect("text");
        assert_eq!(output.status.code(), Some(code), "{said}");
        assert!(
            said.starts_with(&words) && said.lines().count() == 1,
            "{said}"
        );
    }
}
