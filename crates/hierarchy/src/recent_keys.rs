//! Records when keys were last fetched, in four bytes a key.
//!
//! The table is set-associative and of constant size; each cell has a fingerprint and a coarse timestamp. A
//! full set evicts its oldest key. Two keys of one set may share a fingerprint (16 bits among eight cells:
//! about one key in eight thousand). Both errors only affect the accuracy of an estimate.

use linnethook::interface::Ms;

const CELLS_PER_SET: usize = 8;

/// The horizon in ticks. Timestamps wrap after four times as many ticks, so that ages up to the horizon are
/// unambiguous.
const HORIZON_TICKS: u16 = 1 << 14;

/// The shortest tick, in milliseconds.
const MIN_TICK: Ms = 1.0;

#[derive(Debug, Clone, Copy, Default)]
struct Cell {
    /// 0 in an empty cell.
    fingerprint: u16,
    /// In ticks, wrapping.
    recorded_at: u16,
}

impl Cell {
    /// Ticks since it was recorded; an empty cell is older than any other.
    fn age(&self, now: u16) -> u32 {
        match self.fingerprint {
            0 => u32::MAX,
            _ => u32::from(now.wrapping_sub(self.recorded_at)),
        }
    }
}

/// When keys were last recorded, up to a horizon.
#[derive(Debug, Clone)]
pub struct RecentKeys {
    sets: Vec<[Cell; CELLS_PER_SET]>,
    /// Milliseconds in a tick.
    tick: Ms,
}

impl RecentKeys {
    /// A table for at least `keys` keys, rounded up to a power of two, with a horizon in milliseconds.
    pub fn new(keys: usize, horizon: Ms) -> Self {
        let sets = keys.div_ceil(CELLS_PER_SET).next_power_of_two();
        let tick = (horizon / f64::from(HORIZON_TICKS)).max(MIN_TICK);
        Self { sets: vec![[Cell::default(); CELLS_PER_SET]; sets], tick }
    }

    fn tick_at(&self, now: Ms) -> u16 {
        // The cast wraps on purpose.
        ((now / self.tick) as u64) as u16
    }

    /// The set of a key, from its lower bits, and its fingerprint, from its upper bits.
    fn set_and_fingerprint(&self, key: u64) -> (usize, u16) {
        let set = key as usize & (self.sets.len() - 1);
        let fingerprint = (key >> 48) as u16;
        (set, fingerprint.max(1))
    }

    /// Records a key at the time `now`. A full set evicts the key that was recorded longest ago.
    pub fn record(&mut self, now: Ms, key: u64) {
        let (set, fingerprint) = self.set_and_fingerprint(key);
        let recorded_at = self.tick_at(now);
        let cells = &mut self.sets[set];
        let same_key = cells.iter().position(|cell| cell.fingerprint == fingerprint);
        let oldest = || {
            let oldest = cells.iter().enumerate().max_by_key(|(_, cell)| cell.age(recorded_at));
            oldest.map_or(0, |(index, _)| index)
        };
        let index = same_key.unwrap_or_else(oldest);
        cells[index] = Cell { fingerprint, recorded_at };
    }

    /// Milliseconds since the key was recorded, to the precision of a tick. `None` beyond the horizon, or for
    /// a key that is not in the table.
    pub fn age(&self, now: Ms, key: u64) -> Option<Ms> {
        let (set, fingerprint) = self.set_and_fingerprint(key);
        let cell = self.sets[set].iter().find(|cell| cell.fingerprint == fingerprint)?;
        let age = self.tick_at(now).wrapping_sub(cell.recorded_at);
        (age <= HORIZON_TICKS).then(|| f64::from(age) * self.tick)
    }

    /// Removes a key.
    pub fn remove(&mut self, key: u64) {
        let (set, fingerprint) = self.set_and_fingerprint(key);
        for cell in self.sets[set].iter_mut().filter(|cell| cell.fingerprint == fingerprint) {
            *cell = Cell::default();
        }
    }

    /// Removes all keys beyond the horizon. Must be called at least once in each
    /// [`sweep_interval`](Self::sweep_interval): older timestamps would wrap and appear recent.
    pub fn sweep(&mut self, now: Ms) {
        let now = self.tick_at(now);
        for cell in self.sets.iter_mut().flatten() {
            if cell.fingerprint != 0 && now.wrapping_sub(cell.recorded_at) > HORIZON_TICKS {
                *cell = Cell::default();
            }
        }
    }

    /// How often [`sweep`](Self::sweep) is due, in milliseconds.
    pub fn sweep_interval(&self) -> Ms {
        f64::from(HORIZON_TICKS) * self.tick
    }

    /// The size of the table in bytes.
    pub fn bytes(&self) -> usize {
        std::mem::size_of_val(&self.sets[..])
    }
}
