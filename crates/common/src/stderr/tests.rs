//! Tests of `stderr.rs`.

use super::*;

/// Takes `room` bytes and no more; closed where there is none.
struct Pipe {
    room: Option<usize>,
    got: Vec<u8>,
}

impl Sink for Arc<Mutex<Pipe>> {
    fn ready(&self) -> bool {
        self.lock().expect("no test panics").room != Some(0)
    }

    fn take(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut pipe = self.lock().expect("no test panics");
        let Some(room) = pipe.room else {
            return Err(io::ErrorKind::BrokenPipe.into());
        };
        let taken = bytes.len().min(room);
        pipe.room = Some(room - taken);
        pipe.got.extend(&bytes[..taken]);
        Ok(taken)
    }
}

fn pipe(room: Option<usize>, most: usize) -> (Arc<Mutex<Pipe>>, Lines<Arc<Mutex<Pipe>>>) {
    let pipe = Arc::new(Mutex::new(Pipe {
        room,
        got: Vec::new(),
    }));
    (Arc::clone(&pipe), Lines::new(pipe, "p", most))
}

#[test]
fn a_full_pipe_costs_lines_in_whole_and_the_count_is_told_later() {
    let (pipe, mut lines) = pipe(Some(3), 100);
    for n in 0..50 {
        lines.line(format!("line {n}\n").as_bytes());
    }
    let dropped = lines.dropped();
    assert!(dropped > 30 && dropped < 50, "{dropped}");
    pipe.lock().expect("no test panics").room = Some(10_000);
    lines.line(b"last\n");
    let got = String::from_utf8(pipe.lock().expect("no test panics").got.clone()).expect("text");
    let mut expected: Vec<_> = (0..50 - dropped).map(|n| format!("line {n}")).collect();
    expected.push(format!(
        "p: {dropped} lines dropped, standard error did not take them"
    ));
    expected.push("last".to_owned());
    assert_eq!(got.lines().collect::<Vec<_>>(), expected);
    assert_eq!(lines.dropped(), dropped);
}

#[test]
fn a_closed_one_costs_its_lines_and_nothing_else() {
    let (_, mut lines) = pipe(None, 100);
    for _ in 0..10 {
        lines.line(b"line\n");
    }
    assert_eq!((lines.dropped(), lines.waiting.len()), (10, 0));
}

#[test]
fn a_line_longer_than_the_bound_is_dropped() {
    let (pipe, mut lines) = pipe(Some(10_000), 10);
    lines.line(b"much longer than ten\n");
    lines.line(b"short\n");
    assert_eq!(lines.dropped(), 2, "the count itself does not fit either");
    assert!(pipe.lock().expect("no test panics").got.is_empty());
}
