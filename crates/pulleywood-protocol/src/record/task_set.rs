//! Sets of task indices, and their stored form.

use base64::{Engine, engine::general_purpose::STANDARD_NO_PAD};
use roaring::RoaringBitmap;
use std::ops::RangeInclusive;

/// Number of tasks in one chunk of a job's done tasks, for a limit of `value_kb` KiB per value.
/// Any set of that many tasks fits into one record, in the worst case as a base64 bitmap.
pub fn chunk_tasks(value_kb: f64) -> u32 {
    let available_bytes = (value_kb * 1024.0 - 3072.0).max(1024.0);
    ((available_bytes * 6.0) as u32) / 64 * 64
}

/// Number of single tasks that are added or removed before the set is compacted again.
const EDITS_PER_COMPACTION: u32 = 128;

/// A set of task indices. Consecutive tasks are kept as a range, so that the memory follows the
/// number of ranges, and is at most that of a bitmap.
#[derive(Debug, Clone, Default)]
pub struct TaskSet {
    tasks: RoaringBitmap,
    /// Number of tasks in the set.
    count: u32,
    /// Single tasks added or removed since the set was compacted.
    edits: u32,
}

impl PartialEq for TaskSet {
    fn eq(&self, other: &Self) -> bool {
        self.tasks == other.tasks
    }
}

impl Eq for TaskSet {}

impl From<TaskSet> for RoaringBitmap {
    fn from(set: TaskSet) -> RoaringBitmap {
        set.tasks
    }
}

impl From<RoaringBitmap> for TaskSet {
    fn from(tasks: RoaringBitmap) -> TaskSet {
        let mut set = TaskSet {
            tasks,
            ..TaskSet::default()
        };
        set.compact();
        set
    }
}

impl From<std::ops::Range<u32>> for TaskSet {
    fn from(range: std::ops::Range<u32>) -> TaskSet {
        let mut tasks = RoaringBitmap::new();
        tasks.insert_range(range);
        TaskSet::from(tasks)
    }
}

impl TaskSet {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates the set of all indices below `task_count`.
    pub fn full(task_count: u32) -> Self {
        Self::from(0..task_count)
    }

    /// Number of tasks in the set.
    pub fn len(&self) -> u32 {
        self.count
    }

    /// Whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Whether the set contains the task.
    pub fn contains(&self, index: u32) -> bool {
        self.tasks.contains(index)
    }

    /// Adds a task. Returns whether it was not in the set before.
    pub fn insert(&mut self, index: u32) -> bool {
        let new = self.tasks.insert(index);
        self.count += u32::from(new);
        self.note_edit();
        new
    }

    /// Removes a task. Returns whether it was in the set.
    pub fn remove(&mut self, index: u32) -> bool {
        let present = self.tasks.remove(index);
        self.count -= u32::from(present);
        self.note_edit();
        present
    }

    /// Adds all tasks of another set.
    pub fn insert_all(&mut self, other: &TaskSet) {
        self.tasks |= &other.tasks;
        self.compact();
    }

    /// Removes all tasks of another set.
    pub fn remove_all(&mut self, other: &TaskSet) {
        self.tasks -= &other.tasks;
        self.compact();
    }

    /// Removes all tasks that are not in another set.
    pub fn retain_all(&mut self, other: &TaskSet) {
        self.tasks &= &other.tasks;
        self.compact();
    }

    /// The tasks of this set that are not in another one.
    pub fn difference(&self, other: &TaskSet) -> TaskSet {
        TaskSet::from(&self.tasks - &other.tasks)
    }

    /// Number of tasks that are in both sets.
    pub fn common_count(&self, other: &TaskSet) -> u32 {
        self.tasks.intersection_len(&other.tasks) as u32
    }

    /// Whether all tasks of this set are in another one.
    pub fn is_subset(&self, other: &TaskSet) -> bool {
        self.tasks.is_subset(&other.tasks)
    }

    /// The tasks in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.tasks.iter()
    }

    /// The first task of the set from this index on.
    pub fn first_from(&self, index: u32) -> Option<u32> {
        self.tasks.range(index..).next()
    }

    /// The tasks as ranges of consecutive indices, in ascending order.
    pub fn ranges(&self) -> impl Iterator<Item = RangeInclusive<u32>> + '_ {
        let mut tasks = self.tasks.iter();
        std::iter::from_fn(move || tasks.next_range())
    }

    fn note_edit(&mut self) {
        self.edits += 1;
        if self.edits >= EDITS_PER_COMPACTION {
            self.compact();
        }
    }

    /// Chooses the smallest form in memory, and counts the tasks again.
    fn compact(&mut self) {
        self.tasks.optimize();
        self.count = self.tasks.len() as u32;
        self.edits = 0;
    }

    /// Encodes the tasks of one chunk, relative to its start: as a list of ranges such as
    /// `0-4,7`, or, if that is longer, as `=` and a bitmap in base64.
    pub fn chunk_text(&self, chunk: u32, chunk_size: u32) -> String {
        let start = chunk * chunk_size;
        let last = start.saturating_add(chunk_size - 1);
        let bitmap_len = chunk_size as usize / 6 + 4;
        let mut in_chunk = self.tasks.range(start..=last);
        let mut text = String::new();
        let mut pending = in_chunk.next_range();
        while let Some(range) = pending {
            // A list that is longer without its last range is not used.
            if text.len() > bitmap_len {
                return self.bitmap_text(start, chunk_size);
            }
            push_range(&mut text, range.start() - start, range.end() - start);
            pending = in_chunk.next_range();
        }
        text
    }

    /// Encodes the tasks of one chunk as `=` and a bitmap in base64.
    fn bitmap_text(&self, start: u32, chunk_size: u32) -> String {
        let first_word = start / u64::BITS;
        let words_in_set = self.tasks.max().map_or(0, |max| max / u64::BITS + 1);
        let words = (words_in_set - first_word).min(chunk_size / u64::BITS);
        let mut bytes = vec![0u8; words as usize * size_of::<u64>()];
        for index in self.tasks.range(start..start + words * u64::BITS) {
            let offset = index - start;
            bytes[offset as usize / 8] |= 1 << (offset % 8);
        }
        format!("={}", STANDARD_NO_PAD.encode(bytes))
    }

    /// Adds the tasks of a chunk in the format of [`TaskSet::chunk_text`]. Returns `false` if the
    /// text is malformed or contains a task that is not below `task_count`.
    pub fn add_chunk(&mut self, text: &str, chunk: u32, chunk_size: u32, task_count: u32) -> bool {
        let start = u64::from(chunk) * u64::from(chunk_size);
        let valid = match text.strip_prefix('=') {
            Some(bitmap) => self.add_bitmap(bitmap, start, task_count),
            None => text
                .split(',')
                .filter(|range| !range.is_empty())
                .all(|range| self.add_range(range, start, chunk_size, task_count)),
        };
        self.compact();
        valid
    }

    fn add_bitmap(&mut self, bitmap: &str, start: u64, task_count: u32) -> bool {
        let Ok(bytes) = STANDARD_NO_PAD.decode(bitmap) else {
            return false;
        };
        let offsets = bytes.iter().enumerate().flat_map(|(position, byte)| {
            let set_bits = (0..8).filter(move |bit| byte >> bit & 1 == 1);
            set_bits.map(move |bit| position as u64 * 8 + bit)
        });
        for offset in offsets {
            let index = start + offset;
            if index >= u64::from(task_count) {
                return false;
            }
            self.tasks.insert(index as u32);
        }
        true
    }

    /// Adds one range of a list, such as `0-4` or `7`.
    fn add_range(&mut self, range: &str, start: u64, chunk_size: u32, task_count: u32) -> bool {
        let (first, last) = range.split_once('-').unwrap_or((range, range));
        match (first.parse::<u64>(), last.parse::<u64>()) {
            (Ok(first), Ok(last)) if first <= last && last < u64::from(chunk_size) => {
                let end = (start + last + 1).min(u64::from(task_count));
                let first = (start + first).min(end);
                self.tasks.insert_range(first as u32..end as u32);
                start + last < u64::from(task_count)
            }
            _ => false,
        }
    }
}

fn push_range(text: &mut String, first: u32, last: u32) {
    use std::fmt::Write;
    let separator = if text.is_empty() { "" } else { "," };
    let _ = if first == last {
        write!(text, "{separator}{first}")
    } else {
        write!(text, "{separator}{first}-{last}")
    };
}
