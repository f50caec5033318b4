//! A cache, a parent or an origin: RESP arrays in, RESP arrays out.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, ToSocketAddrs};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;

/// What came in, and on which connection; these count from 1.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Heard {
    Opened { connection: usize },
    Ask { connection: usize, id: String, fields: HashMap<String, String>, body: Vec<u8> },
    Quit { connection: usize, id: String },
    Closed { connection: usize },
}

/// An answer to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    pub word: &'static str,
    pub fields: String,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn data(body: impl Into<Vec<u8>>) -> Self {
        Self { word: "data", fields: "res=HIT,first=0".to_string(), body: body.into() }
    }

    pub fn word(word: &'static str) -> Self {
        Self { word, fields: "-".to_string(), body: Vec::new() }
    }
}

/// What is done about a request at once; `None` leaves it open.
pub type Behaviour = Arc<dyn Fn(&str, &HashMap<String, String>, &[u8]) -> Option<Answer> + Send + Sync>;

type Connections = Arc<Mutex<HashMap<usize, TcpStream>>>;

pub struct Cache {
    pub address: SocketAddr,
    pub heard: Receiver<Heard>,
    connections: Connections,
}

impl Cache {
    /// Listens, and answers as `behaviour` says.
    pub fn start(address: impl ToSocketAddrs, behaviour: Behaviour) -> io::Result<Self> {
        Self::serve(TcpListener::bind(address)?, behaviour)
    }

    /// Takes what comes to a listener.
    pub fn serve(listener: TcpListener, behaviour: Behaviour) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let (sender, heard) = channel();
        let connections = Connections::default();
        let all = connections.clone();
        thread::spawn(move || {
            for (n, stream) in listener.incoming().enumerate() {
                let Ok(stream) = stream else { return };
                let connection = n + 1;
                if let (Ok(copy), Ok(mut all)) = (stream.try_clone(), all.lock()) {
                    all.insert(connection, copy);
                }
                let (sender, behaviour) = (sender.clone(), behaviour.clone());
                thread::spawn(move || {
                    let _ = sender.send(Heard::Opened { connection });
                    let _ = talk(connection, &stream, &sender, &behaviour);
                    let _ = sender.send(Heard::Closed { connection });
                });
            }
        });
        Ok(Self { address, heard, connections })
    }

    /// Answers a request that was left open.
    pub fn answer(&self, connection: usize, id: &str, answer: &Answer) -> io::Result<()> {
        let stream = self.stream(connection)?;
        (&stream).write_all(&encode(id, answer))
    }

    /// Writes bytes as they are.
    pub fn write(&self, connection: usize, bytes: &[u8]) -> io::Result<()> {
        (&self.stream(connection)?).write_all(bytes)
    }

    /// Ends a connection from this side.
    pub fn close(&self, connection: usize) -> io::Result<()> {
        self.stream(connection)?.shutdown(Shutdown::Both)
    }

    fn stream(&self, connection: usize) -> io::Result<TcpStream> {
        let all = self.connections.lock().map_err(|_| io::Error::other("a thread has failed"))?;
        all.get(&connection).ok_or(io::ErrorKind::NotConnected.into()).and_then(TcpStream::try_clone)
    }
}

fn talk(
    connection: usize,
    stream: &TcpStream,
    sender: &Sender<Heard>,
    behaviour: &Behaviour,
) -> io::Result<()> {
    let mut input = BufReader::new(stream);
    let mut output = stream;
    loop {
        let mut parts = array(&mut input)?.into_iter();
        let mut text = || parts.next().map(|part| String::from_utf8_lossy(&part).into_owned());
        let (command, id) = (text().unwrap_or_default(), text().unwrap_or_default());
        match command.as_str() {
            "ASK" => {
                let fields = fields(&text().unwrap_or_default());
                let body = parts.next().unwrap_or_default();
                let answer = behaviour(&id, &fields, &body);
                let _ = sender.send(Heard::Ask { connection, id: id.clone(), fields, body });
                if let Some(answer) = answer {
                    output.write_all(&encode(&id, &answer))?;
                }
            }
            "QUIT" => {
                let _ = sender.send(Heard::Quit { connection, id });
            }
            "NOOP" | "INFO" => output.write_all(&encode(&id, &Answer::word("well")))?,
            _ => return Err(io::ErrorKind::InvalidData.into()),
        }
    }
}

/// The fields in `name=value,name=value`.
pub fn fields(text: &str) -> HashMap<String, String> {
    let pairs = text.split(',').filter_map(|pair| pair.split_once('='));
    pairs.map(|(name, value)| (name.to_string(), value.to_string())).collect()
}

/// The strings of the next message.
pub fn array(input: &mut impl BufRead) -> io::Result<Vec<Vec<u8>>> {
    let count = number(input, '*')?;
    (0..count)
        .map(|_| {
            let mut part = vec![0; number(input, '$')? + 2];
            input.read_exact(&mut part)?;
            part.truncate(part.len() - 2);
            Ok(part)
        })
        .collect()
}

fn number(input: &mut impl BufRead, sign: char) -> io::Result<usize> {
    let mut line = String::new();
    if input.by_ref().take(32).read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let digits = line.trim_end().strip_prefix(sign).and_then(|digits| digits.parse().ok());
    digits.ok_or(io::ErrorKind::InvalidData.into())
}

/// The bytes of an answer.
pub fn encode(id: &str, answer: &Answer) -> Vec<u8> {
    let mut out = b"*4\r\n".to_vec();
    for part in [id.as_bytes(), answer.word.as_bytes(), answer.fields.as_bytes(), &answer.body] {
        out.extend(format!("${}\r\n", part.len()).bytes());
        out.extend(part);
        out.extend(b"\r\n");
    }
    out
}
