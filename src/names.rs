//! Numbers in place of names, as the balancer uses them.

use std::collections::HashMap;
use std::rc::Rc;

/// The value that a protocol calls `name`; `names` are in the order of `values`.
pub fn value_of_name<T: Copy, const N: usize>(values: [T; N], names: [&str; N], name: &str) -> Option<T> {
    names.iter().position(|known| *known == name).map(|index| values[index])
}

/// Names of one kind, numbered in the order of their first appearance. The map is never iterated over, so
/// that its random order affects nothing.
#[derive(Default)]
pub struct NameTable {
    numbers: HashMap<Rc<str>, usize>,
    names: Vec<Rc<str>>,
}

impl NameTable {
    /// The number of a name; a new name gets a new number.
    pub fn intern(&mut self, name: &str) -> usize {
        if let Some(number) = self.numbers.get(name) {
            return *number;
        }
        let name: Rc<str> = name.into();
        self.numbers.insert(name.clone(), self.names.len());
        self.names.push(name);
        self.names.len() - 1
    }

    /// The name that has a number; panics for a number that was never given to a name.
    pub fn name(&self, number: usize) -> Rc<str> {
        self.names[number].clone()
    }

    /// Forgets a name. If it appears again, it gets another number.
    pub fn forget(&mut self, number: usize) {
        if let Some(name) = self.names.get_mut(number) {
            self.numbers.remove(&std::mem::replace(name, "".into()));
        }
    }
}
