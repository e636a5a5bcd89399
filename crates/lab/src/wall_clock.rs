//! A wall clock of a process's own, which a test may step while the process runs.
//!
//! A small library is built with the system's C compiler and loaded into the process (`shims/wall_clock.c`); the
//! offset goes through a file that both sides map or write. The monotonic clocks are left alone.

use std::fs::File;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};
use std::sync::OnceLock;

/// Names the file with the offset, for the library.
const OFFSET_FILE: &str = "WHEELLINK_WALL_CLOCK";
const SOURCE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/shims/wall_clock.c");

/// The library, built once for all clocks of this process.
fn library() -> &'static Path {
    static BUILT: OnceLock<PathBuf> = OnceLock::new();
    BUILT.get_or_init(|| {
        let path = std::env::temp_dir().join(format!("wheellink-wall-clock-{}.so", std::process::id()));
        let mut compiler = Command::new("cc");
        compiler.args(["-shared", "-fPIC", "-O1", "-Wall", "-Werror", "-o"]).arg(&path).arg(SOURCE);
        let status = compiler.status().expect("a C compiler, which Rust links with as well");
        assert!(status.success(), "{SOURCE} cannot be built");
        path
    })
}

/// The wall clock of one process or of several on the same machine.
pub struct WallClock {
    path: PathBuf,
    file: File,
}

impl WallClock {
    /// A clock that shows the system's time plus so many seconds.
    ///
    /// # Panics
    /// When its file or the library cannot be made.
    pub fn offset_by(seconds: f64) -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let n = NEXT.fetch_add(1, Relaxed);
        let path = std::env::temp_dir().join(format!("wheellink-offset-{}-{n}", std::process::id()));
        let file = File::create(&path).expect("a file in the folder for such files");
        let clock = Self { path, file };
        clock.set(seconds);
        clock
    }

    /// Steps the clock to the system's time plus so many seconds.
    pub fn set(&self, seconds: f64) {
        let offset = (seconds * 1e6) as i64;
        self.file.write_all_at(&offset.to_ne_bytes(), 0).expect("eight bytes");
    }

    /// What a process needs in its environment to go by this clock.
    pub fn environment(&self) -> [(&str, &str); 2] {
        let library = library().to_str().expect("a plain path");
        [("LD_PRELOAD", library), (OFFSET_FILE, self.path.to_str().expect("a plain path"))]
    }
}

impl Drop for WallClock {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}
