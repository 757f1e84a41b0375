//! Long runs by hand, guided by the compiler's coverage: each target of `understudy`, with its own changes by shape
//! beside libFuzzer's. See `docs/fuzzing.md`.

pub use libfuzzer_sys;
use oorandom::Rand64;
use understudy::{Target, shapes, targets};

/// The target of a name.
pub fn named(name: &str) -> Box<dyn Target> {
    let found = targets::all().into_iter().find(|target| target.name() == name);
    found.expect("a target of that name")
}

/// Changes the first `size` bytes of `data` by the target's shape, or as libFuzzer does; returns the new size.
pub fn changed(target: &dyn Target, data: &mut [u8], size: usize, most: usize, seed: u32) -> usize {
    let mut chance = Rand64::new(u128::from(seed));
    if chance.rand_range(0..2) == 0 {
        return libfuzzer_sys::fuzzer_mutate(data, size, most);
    }
    let seeds = target.seeds();
    let other = &seeds[chance.rand_range(0..seeds.len() as u64) as usize];
    let bytes = shapes::changed(target.shape(), &mut chance, &data[..size], other, most);
    data[..bytes.len()].copy_from_slice(&bytes);
    bytes.len()
}

#[macro_export]
macro_rules! target {
    ($name:literal) => {
        use std::cell::RefCell;

        thread_local! {
            static TARGET: RefCell<Box<dyn understudy::Target>> = RefCell::new($crate::named($name));
        }

        $crate::libfuzzer_sys::fuzz_target!(|data: &[u8]| {
            TARGET.with_borrow_mut(|target| drop(target.run(data)));
        });

        $crate::libfuzzer_sys::fuzz_mutator!(|data: &mut [u8], size: usize, most: usize, seed: u32| {
            TARGET.with_borrow(|target| $crate::changed(&**target, data, size, most, seed))
        });
    };
}
