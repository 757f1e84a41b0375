//! Names that others use, numbered for the decisions.

use std::collections::HashMap;
use std::rc::Rc;

/// The value that a protocol has this word for; `words` stand in the order of `all`.
pub fn value_of_name<T: Copy, const N: usize>(all: [T; N], words: [&str; N], word: &str) -> Option<T> {
    words.iter().position(|known| *known == word).map(|number| all[number])
}

/// Names of one sort, numbered in the order of their first appearance. The map is only looked up, never
/// walked, so that its order shows nowhere.
#[derive(Default)]
pub struct NameTable {
    numbers: HashMap<Rc<str>, usize>,
    names: Vec<Rc<str>>,
}

impl NameTable {
    /// The number of a name, a new one for a new name.
    pub fn intern(&mut self, name: &str) -> usize {
        if let Some(number) = self.numbers.get(name) {
            return *number;
        }
        let name: Rc<str> = name.into();
        self.numbers.insert(name.clone(), self.names.len());
        self.names.push(name);
        self.names.len() - 1
    }

    /// The name of a number that was given out.
    pub fn name(&self, number: usize) -> Rc<str> {
        self.names[number].clone()
    }

    /// Forgets a name. Should it come again, it gets another number.
    pub fn forget(&mut self, number: usize) {
        if let Some(name) = self.names.get_mut(number) {
            self.numbers.remove(&std::mem::replace(name, "".into()));
        }
    }
}
