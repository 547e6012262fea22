//! Clients: one attempt of a request, on a connection of its own.

use std::net::SocketAddr;
use std::time::Duration;

use crate::http::Connection;

/// What a client got.
pub struct Answer {
    /// The status; 0 without an answer.
    pub status: u16,
    pub is_sealed: bool,
    pub body: Vec<u8>,
    /// Whether the answer's framing was complete.
    pub is_complete: bool,
}

impl Answer {
    fn none() -> Self {
        Self {
            status: 0,
            is_sealed: false,
            body: Vec::new(),
            is_complete: false,
        }
    }

    /// Returns the ids of the events.
    pub fn events(&self) -> Vec<usize> {
        let text = String::from_utf8_lossy(&self.body);
        let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
        ids.filter_map(|id| id.parse().ok()).collect()
    }
}

impl Answer {
    /// Returns the version of the software that wrote each event.
    pub fn versions(&self) -> Vec<String> {
        let text = String::from_utf8_lossy(&self.body);
        let data = text.lines().filter_map(|line| line.strip_prefix("data: "));
        let version = |data: &str| data.split(' ').next().unwrap_or_default().to_owned();
        data.map(version).collect()
    }
}

/// The API key of the workspace.
const KEY: &str = "key-of-school";

/// Sends a request and reads its answer.
pub fn request(front: SocketAddr, path: &str, fields: &str, deadline: Duration) -> Answer {
    request_with_key(front, path, fields, deadline, KEY)
}

/// The same with another key.
pub fn request_with_key(
    front: SocketAddr,
    path: &str,
    fields: &str,
    deadline: Duration,
    key: &str,
) -> Answer {
    let mut answer = Answer::none();
    let Ok(mut connection) = Connection::connect(front) else {
        return answer;
    };
    drop(
        connection
            .stream
            .set_read_timeout(Some(deadline + Duration::from_millis(500))),
    );
    let body = "what is to be planned";
    let text = format!(
        "POST {path} HTTP/1.1\r\nHost: lunch.example\r\n{fields}Deadline-Ms: {}\r\nX-Api-Key: {key}\r\nContent-Length: {}\r\n\r\n{body}",
        deadline.as_millis(),
        body.len()
    );
    if connection.send(text.as_bytes()).is_err() {
        return answer;
    }
    if let Ok(Some(head)) = connection.head() {
        answer.status = head.status();
        answer.is_sealed = head.get("Response-Seal").is_some();
        answer.is_complete = connection.body(&head, &mut answer.body).is_ok();
    }
    answer
}
