//! Numbers for names.

use std::collections::HashMap;

/// Names by number and back.
#[derive(Default)]
pub struct Names {
    ids: HashMap<String, usize>,
    names: Vec<String>,
    free: Vec<usize>,
}

impl Names {
    /// The number of a name, given out in the order of first mention; released ones come first.
    pub fn id(&mut self, name: &str) -> usize {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let id = self.free.pop().unwrap_or(self.names.len());
        if id == self.names.len() {
            self.names.push(String::new());
        }
        name.clone_into(&mut self.names[id]);
        self.ids.insert(name.to_owned(), id);
        id
    }

    /// Releases the numbers that are no longer wanted, for other names, and says which.
    pub fn release(&mut self, unwanted: impl Fn(usize) -> bool) -> Vec<usize> {
        let mut released: Vec<usize> = self
            .ids
            .extract_if(|_, id| unwanted(*id))
            .map(|(_, id)| id)
            .collect();
        released.sort_unstable();
        self.free.extend(&released);
        released
    }

    /// The name of a number that was given out.
    pub fn name(&self, id: usize) -> &str {
        &self.names[id]
    }

    /// The number of a name mentioned before.
    pub fn find(&self, name: &str) -> Option<usize> {
        self.ids.get(name).copied()
    }
}
