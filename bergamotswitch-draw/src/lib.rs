//! Provides reproducible random inputs for property tests: each run generates its
//! value with bolero's generators, seeded with the number of the run.
//!
//! `bolero::check!` (0.13) takes its seeds from the operating system and ignores a
//! seed set in the environment, so a rare failure would not recur in the next CI
//! run of the same code. Seeded by number, the runs are the same everywhere.

#![forbid(unsafe_code)]

use bolero::generator::ValueGenerator;
use bolero::generator::bolero_generator::driver::{ByteSliceDriver, Options};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

pub use bolero::TypeGenerator;
pub use bolero::generator::produce as any;

/// The number of random bytes available to the generator of a run. The largest
/// value in use is 300 events of less than 50 bytes each.
const BYTES_PER_RUN: usize = 16_384;

/// A `RunNumber` prints the number of its run if the run panics, so that the run
/// can be repeated by itself.
struct RunNumber(u64);

impl Drop for RunNumber {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("failed in run {}", self.0);
        }
    }
}

/// Generate the value of a run.
///
/// # Panics
///
/// Panics if `generator` cannot generate a value.
pub fn draw<G: ValueGenerator>(generator: &G, run: u64) -> G::Output {
    let mut bytes = vec![0u8; BYTES_PER_RUN];
    StdRng::seed_from_u64(run).fill(&mut bytes[..]);
    let options = Options::default().with_max_len(BYTES_PER_RUN);
    let mut driver = ByteSliceDriver::new(&bytes, &options);
    generator
        .generate(&mut driver)
        .expect("the generator yields a value")
}

/// Call `test` once per run with an arbitrary value of type `T`.
pub fn for_each<T: TypeGenerator + 'static>(runs: u64, test: impl FnMut(&T)) {
    for_each_of(&any::<T>(), runs, test);
}

/// Call `test` once per run with a value from `generator`.
pub fn for_each_of<G: ValueGenerator>(generator: &G, runs: u64, mut test: impl FnMut(&G::Output)) {
    for run in 0..runs {
        let number = RunNumber(run);
        test(&draw(generator, run));
        drop(number);
    }
}
