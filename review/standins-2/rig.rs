//! Plays the cases of the second review: `rig CASE FOLDER`.
#![allow(dead_code)]

mod kit;
mod pipeline;
mod stop;
mod twice;
mod resting;
mod crowd;

fn main() {
    std::panic::set_hook(Box::new(|panic| kit::cannot_run(&panic.to_string())));
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next()) else {
        kit::cannot_run("usage: rig CASE FOLDER");
    };
    match case.as_str() {
        "pipeline" => pipeline::play(&folder),
        "stop" => stop::play(&folder),
        "twice" => twice::play(&folder),
        "resting" => resting::play(&folder),
        "crowd" => crowd::play(&folder),
        _ => kit::cannot_run("no such case"),
    }
}
