//! Interning of names.

use std::collections::HashMap;

/// Names and their ids.
#[derive(Default)]
pub struct NameTable {
    ids: HashMap<String, usize>,
    names: Vec<String>,
    free: Vec<usize>,
}

impl NameTable {
    /// Returns the id of a name, and assigns one if the name is new; released ids are reused first.
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

    /// Releases the ids for which `is_unused` returns true, and returns them in ascending order.
    pub fn release(&mut self, is_unused: impl Fn(usize) -> bool) -> Vec<usize> {
        let mut released: Vec<usize> = self
            .ids
            .extract_if(|_, id| is_unused(*id))
            .map(|(_, id)| id)
            .collect();
        released.sort_unstable();
        self.free.extend(&released);
        released
    }

    /// Returns the name of an assigned id.
    pub fn name(&self, id: usize) -> &str {
        &self.names[id]
    }

    /// Returns the id of a name, if it has one.
    pub fn lookup(&self, name: &str) -> Option<usize> {
        self.ids.get(name).copied()
    }
}
