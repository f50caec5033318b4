//! Owns the caches' protocol: RESP arrays of bulk strings, to messages and back.
//!
//! Must never touch a socket or a clock, and never hold more than one unfinished message.

use std::fmt;

use crate::frames::Malformed;
use crate::pool::{Chain, Pool};

/// The longest line that announces an array or a string.
const LINE: usize = 24;

/// An answer of a cache, a parent or the origin.
#[derive(Debug)]
pub struct Reply {
    pub id: String,
    pub word: Word,
    pub fields: Pairs,
    pub body: Chain,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Word {
    Data,
    Unchanged,
    Absent,
    Full,
    Failed,
    Moot,
    Well,
    Ill,
}

impl Word {
    fn read(word: &str) -> Option<Self> {
        Some(match word {
            "data" => Self::Data,
            "unchanged" => Self::Unchanged,
            "absent" => Self::Absent,
            "full" => Self::Full,
            "failed" => Self::Failed,
            "moot" => Self::Moot,
            "well" => Self::Well,
            "ill" => Self::Ill,
            _ => return None,
        })
    }
}

/// `name=value` pairs behind commas, or `-` for none.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Pairs(Vec<(String, String)>);

impl Pairs {
    fn read(text: &str) -> Self {
        let pairs = text.split(',').filter_map(|pair| pair.split_once('='));
        Self(pairs.map(|(name, value)| (name.to_string(), value.to_string())).collect())
    }

    pub fn push(&mut self, name: &str, value: impl fmt::Display) {
        self.0.push((name.to_string(), value.to_string()));
    }

    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }
}

impl fmt::Display for Pairs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() {
            return f.write_str("-");
        }
        for (n, (name, value)) in self.0.iter().enumerate() {
            write!(f, "{}{name}={value}", if n > 0 { "," } else { "" })?;
        }
        Ok(())
    }
}

/// Reads answers off a connection, however their bytes come.
#[derive(Debug, Default)]
pub struct Decoder {
    /// Strings that the array still lacks.
    lacks: usize,
    /// The size of the string that is coming in.
    size: Option<usize>,
    parts: Vec<Chain>,
}

impl Decoder {
    /// Whether no answer has begun.
    pub fn rests(&self) -> bool {
        self.lacks == 0
    }

    /// Takes one answer off `input` once it is there whole.
    pub fn decode(&mut self, input: &mut Chain, longest: usize) -> Result<Option<Reply>, Malformed> {
        loop {
            if self.lacks == 0 {
                let Some(count) = line(input, b'*')? else { return Ok(None) };
                if !(2..=4).contains(&count) {
                    return Err(Malformed("an array of such a length"));
                }
                self.lacks = count;
            }
            let size = match self.size {
                Some(size) => size,
                None => {
                    let Some(size) = line(input, b'$')? else { return Ok(None) };
                    if size > longest {
                        return Err(Malformed("a string of such a length"));
                    }
                    self.size = Some(size);
                    size
                }
            };
            if input.len() < size + 2 {
                return Ok(None);
            }
            let part = input.take(size);
            let mut end = [0; 2];
            input.peek(&mut end);
            if &end != b"\r\n" {
                return Err(Malformed("a string without its end"));
            }
            input.consume(2);
            self.parts.push(part);
            self.size = None;
            self.lacks -= 1;
            if self.lacks == 0 {
                return reply(std::mem::take(&mut self.parts)).map(Some);
            }
        }
    }
}

fn reply(parts: Vec<Chain>) -> Result<Reply, Malformed> {
    let mut parts = parts.into_iter();
    let mut text = || -> Result<Option<String>, Malformed> {
        let part = parts.next().map(|part| String::from_utf8(part.to_vec()));
        part.transpose().map_err(|_| Malformed("a word that is not text"))
    };
    let id = text()?.ok_or(Malformed("no id"))?;
    let word = text()?.ok_or(Malformed("no word"))?;
    let word = Word::read(&word).ok_or(Malformed("an unknown word"))?;
    let fields = Pairs::read(&text()?.unwrap_or_default());
    let body = parts.next().ok_or(Malformed("no body"))?;
    Ok(Reply { id, word, fields, body })
}

/// Takes the line that announces a number of things, once it is there whole.
fn line(input: &mut Chain, sign: u8) -> Result<Option<usize>, Malformed> {
    let mut start = [0; LINE];
    let seen = input.peek(&mut start);
    let start = &start[..seen];
    if start.first().is_some_and(|&first| first != sign) {
        return Err(Malformed("an answer that is no array of strings"));
    }
    let Some(end) = start.windows(2).position(|pair| pair == b"\r\n") else {
        return if seen < LINE { Ok(None) } else { Err(Malformed("a line without its end")) };
    };
    let number = std::str::from_utf8(&start[1..end]).ok().and_then(|digits| digits.parse().ok());
    let number = number.ok_or(Malformed("a length that is no number"))?;
    input.consume(end + 2);
    Ok(Some(number))
}

/// A request.
pub fn ask(pool: &Pool, id: &str, fields: &Pairs, body: Chain) -> Chain {
    let mut out = Chain::new(pool);
    out.push(b"*4\r\n");
    string(&mut out, b"ASK");
    string(&mut out, id.as_bytes());
    string(&mut out, fields.to_string().as_bytes());
    out.push(format!("${}\r\n", body.len()).as_bytes());
    out.append(body);
    out.push(b"\r\n");
    out
}

/// Gives a request up.
pub fn quit(pool: &Pool, id: &str) -> Chain {
    command(pool, &["QUIT", id])
}

/// Asks whether the other side is well, with its load report.
pub fn info(pool: &Pool, tag: &str) -> Chain {
    command(pool, &["INFO", tag])
}

fn command(pool: &Pool, words: &[&str]) -> Chain {
    let mut out = Chain::new(pool);
    out.push(format!("*{}\r\n", words.len()).as_bytes());
    words.iter().for_each(|word| string(&mut out, word.as_bytes()));
    out
}

fn string(out: &mut Chain, bytes: &[u8]) {
    out.push(format!("${}\r\n", bytes.len()).as_bytes());
    out.push(bytes);
    out.push(b"\r\n");
}

#[cfg(test)]
#[path = "../tests/unit/resp.rs"]
mod tests;
