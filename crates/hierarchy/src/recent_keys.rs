//! Owns what is remembered of cold keys: when one was last fetched through a source, in four bytes a key.
//!
//! A set-associative table of fingerprints with a coarse time each: a full set loses its oldest. It may take one
//! key for another (a fingerprint of 16 bits among eight: about one in eight thousand), and forgets under
//! pressure; both only shift an estimate. Must never grow.

use linnethook::interface::Ms;

const WAYS: usize = 8;

#[derive(Debug, Clone, Copy, Default)]
struct Cell {
    /// 0 = empty.
    print: u16,
    /// In ticks, wrapping.
    at: u16,
}

/// When keys were last seen, up to a horizon.
#[derive(Debug, Clone)]
pub struct RecentKeys {
    sets: Vec<[Cell; WAYS]>,
    /// Length of a tick: the horizon is a quarter of what a time can tell apart.
    tick: Ms,
    horizon: u16,
}

impl RecentKeys {
    /// Room for that many keys, rounded up to a power of two.
    pub fn new(keys: usize, horizon: Ms) -> Self {
        let sets = keys.div_ceil(WAYS).next_power_of_two();
        let horizon_ticks = 1u16 << 14;
        let tick = (horizon / f64::from(horizon_ticks)).max(1.0);
        Self { sets: vec![[Cell::default(); WAYS]; sets], tick, horizon: horizon_ticks }
    }

    fn tick_of(&self, now: Ms) -> u16 {
        // Wraps on purpose.
        ((now / self.tick) as u64) as u16
    }

    fn place(&self, key: u64) -> (usize, u16) {
        let set = key as usize & (self.sets.len() - 1);
        // The bits that chose the set tell nothing any more.
        let print = (key >> 48) as u16;
        (set, print.max(1))
    }

    /// Notes a key, in place of the one in its set that was seen longest ago.
    pub fn note(&mut self, now: Ms, key: u64) {
        let (set, print) = self.place(key);
        let at = self.tick_of(now);
        let cells = &mut self.sets[set];
        let same = cells.iter().position(|cell| cell.print == print);
        let oldest = || {
            let age = |cell: &Cell| match cell.print {
                0 => u32::MAX,
                _ => u32::from(at.wrapping_sub(cell.at)),
            };
            cells.iter().enumerate().max_by_key(|(_, cell)| age(cell)).map_or(0, |(n, _)| n)
        };
        let n = same.unwrap_or_else(oldest);
        cells[n] = Cell { print, at };
    }

    /// How long ago the key was seen, to the tick; `None` past the horizon, or if it was forgotten.
    pub fn age(&self, now: Ms, key: u64) -> Option<Ms> {
        let (set, print) = self.place(key);
        let cell = self.sets[set].iter().find(|cell| cell.print == print)?;
        let age = self.tick_of(now).wrapping_sub(cell.at);
        (age <= self.horizon).then(|| f64::from(age) * self.tick)
    }

    /// Lets go of a key.
    pub fn forget(&mut self, key: u64) {
        let (set, print) = self.place(key);
        self.sets[set].iter_mut().filter(|cell| cell.print == print).for_each(|cell| *cell = Cell::default());
    }

    /// Empties all cells past the horizon. To be called at least once in each horizon, or old times would wrap
    /// round and look new.
    pub fn sweep(&mut self, now: Ms) {
        let (at, horizon) = (self.tick_of(now), self.horizon);
        let past = |cell: &&mut Cell| cell.print != 0 && at.wrapping_sub(cell.at) > horizon;
        self.sets.iter_mut().flatten().filter(past).for_each(|cell| *cell = Cell::default());
    }

    /// How often `sweep` is due.
    pub fn sweep_every(&self) -> Ms {
        f64::from(self.horizon) * self.tick
    }

    /// Bytes of the table.
    pub fn bytes(&self) -> usize {
        std::mem::size_of_val(&self.sets[..])
    }
}
