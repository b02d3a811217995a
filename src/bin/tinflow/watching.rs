//! How long a call for the list may wait and take, and what follows one to which nothing comes back. Pure. Changes with
//! when what discovery has to tell counts as told.

use std::time::Duration;

/// What a silent watch misses counts as told this long after it fell silent, as the protocol has it.
const TOLD: Duration = Duration::from_secs(6);
/// How long a connection, and how much longer than it may wait a call may take: this bounds one to which nothing comes
/// back at all.
pub const PATIENCE: Duration = Duration::from_secs(1);
/// How long a watch lets discovery wait for news at the most. One that falls silent as it begins is so given up, asked
/// for anew in vain and asked for once more before what it missed counts as told. Discovery sends no line of the list
/// for a watch that ends without news, so a shorter one is not dearer to it.
const WATCH: Duration = TOLD.saturating_sub(PATIENCE.saturating_mul(3));
/// Least wait, as a part of that: sidecars whose watches were answered at once must not all ask again at once.
const LEAST_WAIT: f64 = 0.75;

/// A call for the list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Call {
    /// How long it may wait for news; the whole list is asked for without waiting.
    pub wait: Duration,
    /// How long it may take.
    pub within: Duration,
}

/// How a watch goes on.
pub struct Watching {
    /// What the agent has counts as told, whether or not a call is open there.
    pushed: bool,
    /// Calls in a row to which nothing came back.
    silences: u32,
}

impl Watching {
    /// One that begins. Where changes are `pushed`, it is never without an open call for as long as nothing comes back.
    pub fn new(pushed: bool) -> Self {
        Self { pushed, silences: 0 }
    }

    /// The next call, for news or, where no version is known, for the whole list; `chance` is from 0 to 1.
    pub fn call(&self, news: bool, chance: f64) -> Call {
        let watch = WATCH.mul_f64(LEAST_WAIT + (1.0 - LEAST_WAIT) * chance);
        match news {
            // After silence, what was missed is asked for without a wait, so that a second silence costs little. Every
            // other call waits again: an agent that takes long for each answer is heard too.
            true if self.silences % 2 == 1 => Call { wait: Duration::ZERO, within: PATIENCE },
            true => Call { wait: watch, within: watch + PATIENCE },
            false => Call { wait: Duration::ZERO, within: PATIENCE * (1 << self.silences.min(2)) },
        }
    }

    /// It was answered.
    pub fn answered(&mut self) {
        self.silences = 0;
    }

    /// Nothing came back in time; whether the next call goes at once. Else the module says when.
    pub fn silent(&mut self) -> bool {
        self.silences = self.silences.saturating_add(1);
        self.pushed || self.silences % 2 == 1
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// When each of the first calls in a silence begins, the longest wait of each taken.
    fn begins(pushed: bool, news: bool) -> Vec<Duration> {
        let (mut watching, mut at, mut begins) = (Watching::new(pushed), Duration::ZERO, Vec::new());
        loop {
            begins.push(at);
            at += watching.call(news, 1.0).within;
            if !watching.silent() || begins.len() == 9 {
                return begins;
            }
        }
    }

    // Invariant: two calls begin before what the first missed counts as told, so that one of them may fail too.
    #[test]
    fn what_a_silent_watch_missed_is_asked_for_twice_before_it_counts_as_told() {
        assert!(begins(true, true)[2] < TOLD, "{:?}", begins(true, true));
        // Where lists are asked for, the second silence leaves it to the module, with time left.
        let asked = begins(false, true);
        assert_eq!(asked.len(), 2);
        assert!(asked[1] + PATIENCE < TOLD, "{asked:?}");
    }

    // After a reload it counts as told after 4 s.
    #[test]
    fn a_whole_list_is_asked_for_three_times_before_it_counts_as_told() {
        assert!(begins(true, false)[2] < Duration::from_secs(4), "{:?}", begins(true, false));
    }

    // What the agent gets as discovery returns counts as told at once: some call must be open then.
    #[test]
    fn pushed_lists_are_never_without_an_open_call_in_a_silence() {
        for news in [true, false] {
            assert_eq!(begins(true, news).len(), 9);
        }
    }

    #[test]
    fn an_agent_that_takes_three_seconds_is_heard_again() {
        for news in [true, false] {
            let mut watching = Watching::new(true);
            let calls = (0..3).map(|_| {
                let call = watching.call(news, 0.0);
                watching.silent();
                call
            });
            assert!(calls.max_by_key(|c| c.within).is_some_and(|c| c.within > Duration::from_secs(3)));
        }
    }
}
