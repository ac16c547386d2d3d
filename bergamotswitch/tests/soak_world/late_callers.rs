//! Provides callers that connect to a host before its planned stop, and use their
//! connections for calls unlike the recent ones of their routes until these are closed.

use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{sleep, sleep_until};

use super::SoakWorld;
use super::callers::{CallKind, CallerConnection, PlannedCall, connect, prefix_of, send};
use super::work::CallWork;

/// The number of late callers of a stop.
const LATE_CALLERS: usize = 12;
/// When the first of them sends its first call after SIGTERM, in every second stop and in
/// the others, in milliseconds.
const LATE_START_MS: std::ops::Range<u64> = 2_700..3_900;
const EARLY_START_MS: std::ops::Range<u64> = 0..3_900;
/// Until when most of them send their first calls, in milliseconds: about when a stopping
/// host closes idle connections. One in [`LAST_ONE_IN`] does so at any later time.
const LATE_END_MS: u64 = 4_100;
const LAST_ONE_IN: u32 = 6;
/// The pause of a late caller between two calls, in milliseconds.
const LATE_PAUSE_MS: std::ops::Range<u64> = 30..400;
/// Seeds differ from those of other callers by this bit.
const LATE_SEED_BIT: u64 = 1 << 63;

/// A `LateCallers` is the open connections of the late callers of a stop.
pub struct LateCallers {
    connections: Vec<CallerConnection>,
}

impl LateCallers {
    /// Open connections to a host.
    pub async fn connect(world: &SoakWorld, host: usize) -> Self {
        let mut connections = Vec::new();
        for _ in 0..LATE_CALLERS {
            connections.extend(connect(world, host).await);
        }
        LateCallers { connections }
    }

    /// Send calls on the connections, from some time after the signal on.
    pub fn start(
        self,
        world: &Rc<SoakWorld>,
        stop: u64,
        from: Instant,
        grace: Duration,
    ) -> Vec<JoinHandle<()>> {
        let mut rng = StdRng::seed_from_u64(world.seed ^ (stop << 32) ^ LATE_SEED_BIT);
        let starts = match rng.random_bool(0.5) {
            true => LATE_START_MS,
            false => EARLY_START_MS,
        };
        let earliest = rng.random_range(starts);
        let mut tasks = Vec::new();
        for (number, connection) in self.connections.into_iter().enumerate() {
            let end = match rng.random_ratio(1, LAST_ONE_IN) {
                true => grace.as_millis() as u64,
                false => LATE_END_MS,
            };
            let at = Duration::from_millis(rng.random_range(earliest..end.max(LATE_END_MS)));
            let caller = LateCaller {
                world: Rc::clone(world),
                connection,
                name: format!("late{stop}-{number}"),
                rng: StdRng::seed_from_u64(rng.random()),
            };
            tasks.push(spawn_local(caller.run(from + at)));
        }
        tasks
    }
}

struct LateCaller {
    world: Rc<SoakWorld>,
    connection: CallerConnection,
    name: String,
    rng: StdRng,
}

impl LateCaller {
    /// Send calls until the connection is closed.
    async fn run(mut self, at: Instant) {
        sleep_until(at.into()).await;
        for count in 1.. {
            let kind = CallKind::ALL[self.rng.random_range(0..CallKind::ALL.len())];
            let Some(prefix) = prefix_of(&self.world, &mut self.rng, kind) else {
                continue;
            };
            let call = PlannedCall {
                id: format!("{}-{count}", self.name),
                kind,
                prefix,
                work: CallWork::draw_unlike(&mut self.rng, kind.is_stream()),
                second_key: false,
            };
            if !send(&self.world, &mut self.connection, call).await.kept {
                return;
            }
            let pause = self.rng.random_range(LATE_PAUSE_MS);
            sleep(Duration::from_millis(pause)).await;
        }
    }
}
