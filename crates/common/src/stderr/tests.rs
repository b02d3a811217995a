//! Tests of `stderr.rs`.

use super::*;

/// Accepts `capacity` more bytes; closed if there is none.
struct Pipe {
    capacity: Option<usize>,
    received: Vec<u8>,
}

impl LogSink for Arc<Mutex<Pipe>> {
    fn is_ready(&self) -> bool {
        self.lock().expect("no test panics").capacity != Some(0)
    }

    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut pipe = self.lock().expect("no test panics");
        let Some(room) = pipe.capacity else {
            return Err(io::ErrorKind::BrokenPipe.into());
        };
        let taken = bytes.len().min(room);
        pipe.capacity = Some(room - taken);
        pipe.received.extend(&bytes[..taken]);
        Ok(taken)
    }
}

fn pipe(room: Option<usize>, most: usize) -> (Arc<Mutex<Pipe>>, LineBuffer<Arc<Mutex<Pipe>>>) {
    let pipe = Arc::new(Mutex::new(Pipe {
        capacity: room,
        received: Vec::new(),
    }));
    (Arc::clone(&pipe), LineBuffer::new(pipe, "p", most))
}

#[test]
fn a_full_pipe_drops_whole_lines_and_the_count_is_written_later() {
    let (pipe, mut lines) = pipe(Some(3), 100);
    for n in 0..50 {
        lines.write_line(format!("line {n}\n").as_bytes());
    }
    let dropped = lines.dropped();
    assert!(dropped > 30 && dropped < 50, "{dropped}");
    pipe.lock().expect("no test panics").capacity = Some(10_000);
    lines.write_line(b"last\n");
    let received =
        String::from_utf8(pipe.lock().expect("no test panics").received.clone()).expect("text");
    let mut expected: Vec<_> = (0..50 - dropped).map(|n| format!("line {n}")).collect();
    expected.push(format!(
        "p: {dropped} lines dropped, standard error did not take them"
    ));
    expected.push("last".to_owned());
    assert_eq!(received.lines().collect::<Vec<_>>(), expected);
    assert_eq!(lines.dropped(), dropped);
}

#[test]
fn a_closed_sink_loses_its_lines_and_nothing_else() {
    let (_, mut lines) = pipe(None, 100);
    for _ in 0..10 {
        lines.write_line(b"line\n");
    }
    assert_eq!((lines.dropped(), lines.buffered.len()), (10, 0));
}

#[test]
fn a_line_longer_than_the_bound_is_dropped() {
    let (pipe, mut lines) = pipe(Some(10_000), 10);
    lines.write_line(b"much longer than ten\n");
    lines.write_line(b"short\n");
    assert_eq!(lines.dropped(), 2, "the count itself does not fit either");
    assert!(pipe.lock().expect("no test panics").received.is_empty());
}
