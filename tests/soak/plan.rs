//! What happens in one play, drawn from its seed.

use fastrand::Rng;
use std::time::Duration;

/// How clients beside the sound ones behave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Crowd {
    /// There are none.
    Absent,
    /// They write bodies in small pieces.
    WriteSlowly,
    /// They stop within a large request.
    Stop,
    /// They send heads of many short fields.
    ManyFields,
    /// They ask whether the sidecar is up, are idle then, and come again once they are closed.
    Idle,
    /// They leave long answers unread.
    ReadSlowly,
    /// One sends at full speed.
    Flood,
    /// They send a request and much behind it, and leave.
    Leave,
}

const CROWDS: [Crowd; 8] = [
    Crowd::Absent,
    Crowd::WriteSlowly,
    Crowd::Stop,
    Crowd::ManyFields,
    Crowd::ReadSlowly,
    Crowd::Flood,
    Crowd::Leave,
    Crowd::Idle,
];

/// A signal, sent after a pause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// The process is suspended for up to 0.15 s.
    Suspend(Duration),
    /// The configuration is replaced and reloaded.
    Reload,
    /// It is killed and started again.
    Kill,
    /// It is told to stop, killed as early as the platform may, and started again.
    Restart,
}

/// One play.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub memory_mb: usize,
    pub descriptors: u32,
    /// The longest deadline of a class.
    pub deadline: Duration,
    pub endpoints: usize,
    /// How many of a thousand requests an endpoint lets hang, fails or resets.
    pub faults_per_mille: u32,
    pub sound_clients: usize,
    pub crowd: Crowd,
    /// Each after its pause.
    pub signals: Vec<(Duration, Signal)>,
}

impl Plan {
    pub fn draw(seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let signals = (0..rng.usize(2..5)).map(|_| (millis(&mut rng, 100..900), signal(&mut rng)));
        let signals = signals.collect();
        // Each crowd comes up among any eight seeds.
        let crowd = CROWDS[seed as usize % CROWDS.len()];
        Self {
            seed,
            memory_mb: [32, 32, 64, 192][rng.usize(0..4)],
            descriptors: match (crowd, rng.usize(0..3)) {
                // So few that the crowd fills the places.
                (Crowd::Idle, _) | (_, 0) => 256,
                (_, 1) => 512,
                _ => 1024,
            },
            deadline: millis(&mut rng, 400..2000),
            endpoints: rng.usize(3..9),
            faults_per_mille: rng.u32(0..150),
            sound_clients: rng.usize(4..12),
            crowd,
            signals,
        }
    }
}

fn signal(rng: &mut Rng) -> Signal {
    match rng.usize(0..5) {
        0 => Signal::Suspend(millis(rng, 20..150)),
        1 => Signal::Reload,
        2 => Signal::Kill,
        _ => Signal::Restart,
    }
}

fn millis(rng: &mut Rng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(rng.u64(range))
}
