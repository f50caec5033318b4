//! A folder in memory that stops at any step, and may then have any of what was not synced: what is read afterwards is whole, and
//! what was promised is there.

use std::collections::BTreeMap;
use std::io;

use linnethook_learned::ageing::{filter_holds, Ages};
use linnethook_learned::files::{Files, Folder};
use linnethook_learned::format::{decode, encode, Bounds, Section, Unreadable, VERSION};
use linnethook_learned::log::{self, Log, Refused};
use linnethook_learned::snapshot;
use proptest::prelude::{any, prop_assert, prop_assert_eq, proptest, Just, ProptestConfig, Strategy};

/// How what was not synced fares when the machine stops.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Unsynced {
    Lost,
    Kept,
    /// Half of the bytes, and names that were not synced are there.
    Torn,
    /// Names are there, bytes are not: what was reordered.
    Empty,
}

const FATES: [Unsynced; 4] = [Unsynced::Lost, Unsynced::Kept, Unsynced::Torn, Unsynced::Empty];

#[derive(Debug, Clone, Default)]
struct File {
    synced: Vec<u8>,
    bytes: Vec<u8>,
}

/// Files by number, names that are on the disk and those that only the running system has.
#[derive(Debug, Clone, Default)]
struct Memory {
    files: Vec<File>,
    synced: BTreeMap<String, usize>,
    names: BTreeMap<String, usize>,
    steps: usize,
    /// At this step nothing works any more.
    stops: Option<usize>,
    /// There is room for so many bytes in a file.
    room: Option<usize>,
}

impl Memory {
    fn step(&mut self) -> io::Result<()> {
        self.steps += 1;
        match self.stops {
            Some(at) if self.steps > at => Err(io::Error::other("stopped")),
            _ => Ok(()),
        }
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        let n = *self.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        self.files.get_mut(n).ok_or(io::ErrorKind::NotFound.into())
    }

    /// What is there after the machine has stopped.
    fn after(&self, fate: Unsynced) -> Self {
        let names = if fate == Unsynced::Lost { &self.synced } else { &self.names };
        let left = |file: &File| {
            let bytes = match fate {
                Unsynced::Lost => file.synced.clone(),
                Unsynced::Kept => file.bytes.clone(),
                Unsynced::Torn if file.bytes.starts_with(&file.synced) => {
                    file.bytes[..(file.synced.len() + file.bytes.len()).div_ceil(2)].to_vec()
                }
                Unsynced::Torn => file.bytes[..file.bytes.len() / 2].to_vec(),
                Unsynced::Empty => file.synced.clone(),
            };
            File { synced: bytes.clone(), bytes }
        };
        let files = self.files.iter().map(left).collect();
        Self { files, synced: names.clone(), names: names.clone(), ..Self::default() }
    }
}

impl Files for Memory {
    fn read(&mut self, name: &str, most: u64) -> io::Result<Option<Vec<u8>>> {
        self.step()?;
        match self.file(name) {
            Err(_) => Ok(None),
            Ok(file) if file.bytes.len() as u64 > most => Err(io::ErrorKind::FileTooLarge.into()),
            Ok(file) => Ok(Some(file.bytes.clone())),
        }
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.step()?;
        let room = self.room.unwrap_or(usize::MAX);
        // A new file under the name; one that it had is gone for the running system.
        let file = File { synced: Vec::new(), bytes: bytes[..bytes.len().min(room)].to_vec() };
        self.files.push(file);
        self.names.insert(name.to_string(), self.files.len() - 1);
        if bytes.len() > room {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.step()?;
        if self.file(name).is_err() {
            self.files.push(File::default());
            self.names.insert(name.to_string(), self.files.len() - 1);
        }
        let room = self.room.unwrap_or(usize::MAX);
        let file = self.file(name)?;
        let fits = room.saturating_sub(file.bytes.len()).min(bytes.len());
        file.bytes.extend(&bytes[..fits]);
        if fits < bytes.len() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    fn cut(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.step()?;
        self.file(name)?.bytes.truncate(length as usize);
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.step()?;
        let file = self.file(name)?;
        file.synced = file.bytes.clone();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.step()?;
        let n = self.names.remove(from).ok_or(io::ErrorKind::NotFound)?;
        self.names.insert(to.to_string(), n);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.step()?;
        self.names.remove(name);
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        self.step()?;
        self.synced = self.names.clone();
        Ok(())
    }
}

fn learned(n: u64) -> Vec<Section> {
    (0..3).map(|kind| Section { kind, at: n as f64, bytes: vec![n as u8; 40 * usize::from(kind)] }).collect()
}

/// Stopped at every step of four snapshots, with every fate of what was not synced: what is read is one of those written, whole,
/// and not older than the last one that was finished; then the next one can be written.
#[test]
fn a_snapshot_is_whole_wherever_the_machine_stops() {
    let mut whole = Memory::default();
    (1..=4).for_each(|n| _ = snapshot::write(&mut whole, &learned(n)).expect("written"));
    let mut cases = 0;
    for stops in 0..=whole.steps {
        let mut files = Memory { stops: Some(stops), ..Memory::default() };
        let done = (1..=4).take_while(|n| snapshot::write(&mut files, &learned(*n)).is_ok()).count() as u64;
        for fate in FATES {
            let mut after = files.after(fate);
            let found = snapshot::read(&mut after, &Bounds::default());
            let sections = found.content.map(|content| {
                assert_eq!((content.broken, content.lost), (0, 0), "{stops} {fate:?}");
                content.sections
            });
            let known = (1..=4).find(|n| sections.as_ref() == Some(&learned(*n)));
            match known {
                Some(n) => assert!(n >= done, "{stops} {fate:?}: {n}, {done} were finished"),
                None => assert!(sections.is_none() && done == 0, "{stops} {fate:?}: {sections:?}"),
            }
            snapshot::write(&mut after, &learned(9)).expect("written after all");
            let again = snapshot::read(&mut after, &Bounds::default()).content.expect("there");
            assert_eq!(again.sections, learned(9));
            cases += 1;
        }
    }
    println!("{cases} cases");
    assert!(cases > 80);
    // A full disk leaves the one before it.
    let mut full = whole.clone();
    full.room = Some(10);
    assert!(snapshot::write(&mut full, &learned(5)).is_err());
    assert_eq!(snapshot::read(&mut full, &Bounds::default()).content.expect("there").sections, learned(4));
}

/// Three groups of records, a compaction and another group, stopped at every step: what was confirmed is there in its order, and
/// nothing is there that was never added.
#[test]
fn a_promise_is_kept_wherever_the_machine_stops() {
    let record = |n: u8| vec![n; usize::from(n) * 7];
    // What is confirmed after each step of the play, and what may be there.
    let play = |files: &mut Memory| -> (Vec<u8>, Vec<u8>) {
        let (mut sure, mut added) = (Vec::new(), Vec::new());
        let Ok((mut log, known, _)) = Log::open(files, log::Bounds::default()) else { return (sure, added) };
        assert!(known.is_empty());
        for group in [vec![1, 2], vec![3], vec![4, 5, 6]] {
            group.iter().for_each(|n| log.add(&record(*n)).expect("taken"));
            added.extend(&group);
            if log.commit(files).is_err() {
                assert!(matches!(log.add(&[1]), Err(Refused::Broken)));
                return (sure, added);
            }
            sure.extend(&group);
        }
        // The first three are settled.
        let kept: Vec<Vec<u8>> = [4, 5, 6].map(record).to_vec();
        sure.retain(|n| *n > 3);
        if log.compact(files, &kept).is_err() {
            return (sure, added);
        }
        added.retain(|n| *n > 3);
        log.add(&record(7)).expect("taken");
        added.push(7);
        if log.commit(files).is_ok() {
            sure.push(7);
        }
        (sure, added)
    };
    let mut whole = Memory::default();
    assert_eq!(play(&mut whole), (vec![4, 5, 6, 7], vec![4, 5, 6, 7]));
    for stops in 0..=whole.steps {
        let mut files = Memory { stops: Some(stops), ..Memory::default() };
        let (sure, added) = play(&mut files);
        for fate in FATES {
            let mut after = files.after(fate);
            let (mut log, known, _) = Log::open(&mut after, log::Bounds::default()).expect("opened");
            let known: Vec<u8> = known.iter().map(|record| record[0]).collect();
            let case = format!("{stops} {fate:?}: {known:?}, sure {sure:?}, added {added:?}");
            assert!(sure.iter().all(|n| known.contains(n)), "{case}");
            assert!(known.iter().all(|n| *n < 4 || added.contains(n)) && known.is_sorted(), "{case}");
            // It goes on behind what was torn.
            log.add(&record(8)).expect("taken");
            log.commit(&mut after).expect("committed");
            let (_, again, torn) = Log::open(&mut after, log::Bounds::default()).expect("opened");
            assert_eq!((again.last(), torn), (Some(&record(8)), 0), "{case}");
        }
    }
    // Bounds: a full log says so and takes what compaction makes room for.
    let bounds = log::Bounds { bytes: 64, record: 40 };
    let mut files = Memory::default();
    let (mut log, ..) = Log::open(&mut files, bounds).expect("opened");
    assert!(matches!(log.add(&[0; 41]), Err(Refused::TooLong(41))));
    log.add(&[1; 40]).expect("taken");
    assert!(matches!(log.add(&[2; 40]), Err(Refused::Full)));
    log.commit(&mut files).expect("committed");
    log.compact(&mut files, &[]).expect("compacted");
    assert!(log.is_empty());
    log.add(&[2; 40]).expect("taken");
}

fn sections() -> impl Strategy<Value = Vec<Section>> {
    let section = (any::<u16>(), 0u64..1 << 50, proptest::collection::vec(any::<u8>(), 0..60));
    let section = section.prop_map(|(kind, at, bytes)| Section { kind, at: at as f64, bytes });
    proptest::collection::vec(section, 0..8)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    /// What was written is read; cut anywhere, or with any byte changed, the sections that are left are some of those written, and
    /// a changed byte costs one section, or those behind a broken head.
    #[test]
    fn a_broken_section_costs_itself(sections in sections(), cut in any::<proptest::sample::Index>(), flip in 1u8..=255, _x in Just(())) {
        let bytes = encode(&sections);
        let bounds = Bounds::default();
        let content = decode(&bytes, &bounds).expect("written just now");
        prop_assert_eq!(&content.sections, &sections);
        prop_assert_eq!((content.version, content.broken, content.lost), (VERSION, 0, 0));
        let at = cut.index(bytes.len());
        if let Ok(content) = decode(&bytes[..at], &bounds) {
            prop_assert!(sections.starts_with(&content.sections));
        }
        let mut changed = bytes.clone();
        changed[at] ^= flip;
        if let Ok(content) = decode(&changed, &bounds) {
            prop_assert!(content.sections.iter().all(|section| sections.contains(section)));
            prop_assert!(content.sections.len() + 1 >= sections.len() || content.lost > 0);
        }
    }

    /// Garbage is an error or nothing, and never a panic.
    #[test]
    fn garbage_is_no_knowledge(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let _ = decode(&bytes, &Bounds::default());
        let mut files = Memory::default();
        files.append("promises", &bytes).expect("written");
        let (_, known, torn) = Log::open(&mut files, log::Bounds::default()).expect("opened");
        let kept: usize = known.iter().map(|record| record.len() + 8).sum();
        prop_assert_eq!(kept as u64 + torn, bytes.len() as u64);
    }
}

#[test]
fn what_is_not_for_this_program_is_left_alone_and_said() {
    let good = encode(&learned(1));
    let mut later = good.clone();
    later[7] = 9;
    let small = Bounds { bytes: 20, ..Bounds::default() };
    for (bytes, bounds, expected) in [
        (b"".to_vec(), Bounds::default(), Unreadable::Strange),
        (b"something else".to_vec(), Bounds::default(), Unreadable::Strange),
        (later, Bounds::default(), Unreadable::Later(9)),
        (good.clone(), small, Unreadable::TooLong),
    ] {
        assert_eq!(decode(&bytes, &bounds), Err(expected));
    }
    // More sections, or a longer one, than is allowed: what came before them is taken.
    let few = Bounds { sections: 2, ..Bounds::default() };
    assert_eq!(decode(&good, &few).expect("readable").sections.len(), 2);
    let short = Bounds { section: 50, ..Bounds::default() };
    assert_eq!(decode(&good, &short).expect("readable").sections.len(), 2);
}

/// The folder of the system does what the one in memory does; it belongs to one at a time.
#[test]
fn a_folder_of_the_system() {
    let path = std::env::temp_dir().join(format!("linnethook-learned-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    let mut folder = Folder::take(&path).expect("taken");
    assert_eq!(Folder::take(&path).err().map(|why| why.kind()), Some(io::ErrorKind::ResourceBusy));
    for n in 1..=3 {
        snapshot::write(&mut folder, &learned(n)).expect("written");
    }
    std::fs::write(path.join("learned"), b"half a").expect("broken");
    let found = snapshot::read(&mut folder, &Bounds::default());
    assert_eq!(found.content.expect("the elder").sections, learned(2));
    assert_eq!(found.ignored.len(), 1);
    let (mut log, ..) = Log::open(&mut folder, log::Bounds::default()).expect("opened");
    log.add(b"a promise").expect("taken");
    log.commit(&mut folder).expect("committed");
    folder.append("promises", b"torn").expect("torn");
    let (_, known, torn) = Log::open(&mut folder, log::Bounds::default()).expect("opened");
    assert_eq!((known, torn), (vec![b"a promise".to_vec()], 4));
    snapshot::forget(&mut folder).expect("forgotten");
    assert!(snapshot::read(&mut folder, &Bounds::default()).content.is_none());
    drop(folder);
    Folder::take(&path).expect("free again");
    let _ = std::fs::remove_dir_all(&path);
}

#[test]
fn knowledge_ages() {
    let ages = Ages::HEALTH;
    let now = 1e9;
    for (age, expected) in
        [(0.0, 1.0), (ages.half, 0.5), (2.0 * ages.half, 0.25), (ages.bound, 0.0), (-1.0, 0.0)]
    {
        assert!((ages.weight(now - age, now) - expected).abs() < 1e-9, "{age}");
    }
    assert_eq!(ages.weight(f64::NAN, now), 0.0);
    assert!((ages.blend(now - ages.half, now, 0.8, 0.2) - 0.5).abs() < 1e-9);
    // Learned at 100: the cache started later, or something was purged later.
    assert!(filter_holds(100.0, 50.0, None) && filter_holds(100.0, 50.0, Some(90.0)));
    assert!(!filter_holds(100.0, 120.0, None) && !filter_holds(100.0, 50.0, Some(110.0)));
}
