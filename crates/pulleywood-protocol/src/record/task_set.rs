//! Sets of task indices, and their stored form.

use base64::{Engine, engine::general_purpose::STANDARD_NO_PAD};

/// Number of tasks in one chunk of a job's done tasks, for a limit of `value_kb` KiB per value.
/// Any set of that many tasks fits into one record, in the worst case as a base64 bitmap.
pub fn chunk_tasks(value_kb: f64) -> u32 {
    let available_bytes = (value_kb * 1024.0 - 3072.0).max(1024.0);
    ((available_bytes * 6.0) as u32) / 64 * 64
}

/// A set of task indices.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct TaskSet {
    words: Vec<u64>,
    count: u32,
}

impl TaskSet {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates the set of all indices below `task_count`.
    pub fn full(task_count: u32) -> Self {
        let mut words = vec![u64::MAX; task_count as usize / 64];
        if !task_count.is_multiple_of(64) {
            words.push((1 << (task_count % 64)) - 1);
        }
        Self {
            words,
            count: task_count,
        }
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
        self.words
            .get(index as usize / 64)
            .is_some_and(|word| word >> (index % 64) & 1 == 1)
    }

    /// Adds a task. Returns whether it was not in the set before.
    pub fn insert(&mut self, index: u32) -> bool {
        let word = index as usize / 64;
        if self.words.len() <= word {
            self.words.resize(word + 1, 0);
        }
        let new = self.words[word] >> (index % 64) & 1 == 0;
        self.words[word] |= 1 << (index % 64);
        self.count += u32::from(new);
        new
    }

    /// Removes a task. Returns whether it was in the set.
    pub fn remove(&mut self, index: u32) -> bool {
        let present = self.contains(index);
        if present {
            self.words[index as usize / 64] &= !(1 << (index % 64));
            self.count -= 1;
        }
        present
    }

    /// The tasks in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.words.iter().enumerate().flat_map(|(position, &word)| {
            let mut remaining = word;
            std::iter::from_fn(move || {
                (remaining != 0).then(|| {
                    let bit = remaining.trailing_zeros();
                    remaining &= remaining - 1;
                    position as u32 * 64 + bit
                })
            })
        })
    }

    /// Encodes the tasks of one chunk, relative to its start: as a list of ranges such as
    /// `0-4,7`, or, if that is longer, as `=` and a bitmap in base64.
    pub fn chunk_text(&self, chunk: u32, chunk_size: u32) -> String {
        use std::fmt::Write;
        let start = chunk * chunk_size;
        let bitmap_len = chunk_size as usize / 6 + 4;
        let mut text = String::new();
        let mut range: Option<(u32, u32)> = None;
        let push_range = |text: &mut String, (first, last): (u32, u32)| {
            let separator = if text.is_empty() { "" } else { "," };
            let _ = if first == last {
                write!(text, "{separator}{first}")
            } else {
                write!(text, "{separator}{first}-{last}")
            };
        };
        for index in self
            .iter()
            .skip_while(|&index| index < start)
            .take_while(|&index| index < start.saturating_add(chunk_size))
        {
            let offset = index - start;
            match range {
                Some((first, last)) if last + 1 == offset => range = Some((first, offset)),
                Some(complete) => {
                    push_range(&mut text, complete);
                    range = Some((offset, offset));
                }
                None => range = Some((offset, offset)),
            }
            if text.len() > bitmap_len {
                break;
            }
        }
        if text.len() <= bitmap_len {
            if let Some(last_range) = range {
                push_range(&mut text, last_range);
            }
            return text;
        }
        let first_word = start as usize / 64;
        let words = self.words.get(first_word..).unwrap_or(&[]);
        let bytes: Vec<u8> = words
            .iter()
            .take(chunk_size as usize / 64)
            .flat_map(|word| word.to_le_bytes())
            .collect();
        format!("={}", STANDARD_NO_PAD.encode(bytes))
    }

    /// Adds the tasks of a chunk in the format of [`TaskSet::chunk_text`]. Returns `false` if the
    /// text is malformed or contains a task that is not below `task_count`.
    pub fn add_chunk(&mut self, text: &str, chunk: u32, chunk_size: u32, task_count: u32) -> bool {
        let start = u64::from(chunk) * u64::from(chunk_size);
        let add = |set: &mut Self, offset: u64| {
            let is_valid = start + offset < u64::from(task_count);
            if is_valid {
                set.insert((start + offset) as u32);
            }
            is_valid
        };
        if let Some(bitmap) = text.strip_prefix('=') {
            let Ok(bytes) = STANDARD_NO_PAD.decode(bitmap) else {
                return false;
            };
            return bytes.iter().enumerate().all(|(position, byte)| {
                (0..8).all(|bit| byte >> bit & 1 == 0 || add(self, position as u64 * 8 + bit))
            });
        }
        text.split(',')
            .filter(|range| !range.is_empty())
            .all(|range| {
                let (first, last) = range.split_once('-').unwrap_or((range, range));
                match (first.parse::<u64>(), last.parse::<u64>()) {
                    (Ok(first), Ok(last)) if first <= last && last < u64::from(chunk_size) => {
                        (first..=last).all(|offset| add(self, offset))
                    }
                    _ => false,
                }
            })
    }
}
