//! Heads of very many short fields.

use crate::crowd::*;
use crate::stubs::*;
use std::io::Write;
use std::thread;
use std::time::Duration;

/// Fields of these heads besides those of the protocol: with them, a head has nearly as many as
/// the HTTP library reads.
const FIELDS: usize = 88;

/// Short fields of different names.
fn short_fields(number: usize) -> String {
    (0..number).map(|n| format!("f{n}:\r\n")).collect()
}

fn later(message: &Message) -> Reply {
    match message.header("x-sound") {
        Some(_) => Reply::Answer(200, "", b"served".to_vec()),
        None => Reply::By(Box::new(|stream| {
            thread::sleep(Duration::from_millis(700));
            answer(stream, 200, &short_fields(FIELDS), b"served");
            Afterwards::KeepOn
        })),
    }
}

// A field of a few bytes takes more than a hundred once it is parsed, and again in each attempt.
#[test]
fn heads_of_many_short_fields_do_not_use_up_the_memory() {
    let _running = one_at_a_time();
    for (form, fields, filling) in [
        ("nearly as many fields as are read", FIELDS, 0),
        ("the same, filled up", FIELDS, 28_000),
        ("far too many fields", 4000, 0),
    ] {
        let mut small = SmallSidecar::start(later);
        let sound = small.sound_client();
        let filling = format!("X-Long: {}\r\n", "h".repeat(filling));
        let text = request("look", &(short_fields(fields) + &filling), "");
        for _ in 0..3 {
            let crowd = small.crowd();
            for mut client in &crowd {
                let _ = client.write_all(text.as_bytes());
            }
            for mut client in crowd {
                assert!(
                    read_message(&mut client).is_some(),
                    "{form}: a request was not answered"
                );
            }
        }
        let result = sound.finish();
        assert!(result.lost == 0 && result.served > 0, "{form}: {result:?}");
        small.assert_within_memory(form);
    }
}
