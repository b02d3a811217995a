//! The replicated state machine of these tests, and the one history that all replicas must share.

use load_balancer_coordinator::replicated_log::Replicated;
use std::cell::RefCell;
use std::rc::Rc;

/// Every order that was applied anywhere, with its time: the one history that all must share.
#[derive(Default)]
pub struct History {
    pub agreed: Vec<(i64, u64)>,
    /// Somebody was lied to: nobody is held to anything any more.
    pub lied: bool,
}

/// A machine that remembers all it was told.
pub struct Book {
    pub history: Rc<RefCell<History>>,
    pub lines: Vec<(i64, u64)>,
}

impl Replicated for Book {
    fn apply(&mut self, at_ms: i64, event: &[u8]) -> Result<Vec<u8>, String> {
        let order = u64::from_le_bytes(event.try_into().map_err(|_| "no order".to_owned())?);
        if self.history.borrow().lied {
            return Ok(Vec::new());
        }
        assert!(
            self.lines.last().is_none_or(|(before, _)| *before <= at_ms),
            "time went back"
        );
        let place = self.lines.len();
        self.lines.push((at_ms, order));
        let agreed = &mut self.history.borrow_mut().agreed;
        match agreed.get(place) {
            Some(line) => assert_eq!(*line, (at_ms, order), "two histories at {place}"),
            None => agreed.push((at_ms, order)),
        }
        Ok((place as u64).to_le_bytes().to_vec())
    }

    fn snapshot(&self) -> Vec<u8> {
        self.lines
            .iter()
            .flat_map(|(at, order)| [at.to_le_bytes(), order.to_le_bytes()])
            .flatten()
            .collect()
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), String> {
        let number = |b: &[u8]| u64::from_le_bytes(b.try_into().expect("eight bytes"));
        self.lines = snapshot
            .chunks(16)
            .map(|c| (number(&c[..8]) as i64, number(&c[8..])))
            .collect();
        let history = self.history.borrow();
        assert!(
            history.lied || history.agreed.starts_with(&self.lines),
            "a snapshot of another history"
        );
        Ok(())
    }
}
