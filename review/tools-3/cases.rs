fn run_case(case: &str, root: &Path, directory: &Path, trouble: bool) -> Res<bool> {
    match case {
        "poison" => poison(root, directory, trouble),
        "parts" => parts(root, directory, trouble),
        "unknown" => unknown(root, directory, trouble),
        "memory" => memory(root, directory, trouble),
        _ => Err(format!("there is no case {case}")),
    }
}

/// A request that crashes the servers that run it comes again, at any daemon.
fn poison(root: &Path, directory: &Path, trouble: bool) -> Res<bool> {
    let work = ms(60);
    let specs = vec![
        plain("desk-1", "catania", work),
        plain("desk-2", "palermo", work),
        plain("desk-3", "siracusa", work),
    ];
    let setting = open(root, directory, 3, specs)?;
    let record = setting.record.clone();
    let end = Instant::now() + ms(80_000);
    let lost = Arc::new(AtomicU64::new(0));
    let served = Arc::new(AtomicU64::new(0));
    let mut threads = Vec::new();
    // Sound clients: 20 confirmations a second.
    for client in 0..10 {
        let daemon = setting.fleet.daemons[client % 3].clone();
        let (record, lost, served) = (record.clone(), lost.clone(), served.clone());
        threads.push(thread::spawn(move || {
            while Instant::now() < end {
                let id = next_id("c");
                let head = head("POST", "/confirm/seat", &id, KEY, 1_000, "");
                match call(daemon.caller, &head, format!("seat {id}").as_bytes(), ms(1_500)) {
                    Ok(answer) if answer.status() == 200 => _ = served.fetch_add(1, Ordering::Relaxed),
                    Ok(answer) if answer.status() == 503 => {}
                    Ok(answer) => {
                        lost.fetch_add(1, Ordering::Relaxed);
                        record.note(&format!("{id} was answered {}", answer.status()));
                    }
                    Err(error) => record.note(&format!("{id}: {error}")),
                }
                thread::sleep(ms(440));
            }
        }));
    }
    if trouble {
        // One client whose request crashes servers comes back once a second, at one daemon after the other.
        let daemons = setting.fleet.daemons.clone();
        let record = record.clone();
        threads.push(thread::spawn(move || {
            let mut turn = 0;
            while Instant::now() < end {
                let daemon = &daemons[turn % daemons.len()];
                turn += 1;
                let id = next_id("p");
                let head = head("POST", "/confirm/seat", &id, KEY, 1_000, "");
                record.note(&format!("{id} is sent to {}", daemon.name));
                match call(daemon.caller, &head, b"poison", ms(1_500)) {
                    Ok(answer) => record.note(&format!("{id} was answered {}", answer.status())),
                    Err(error) => record.note(&format!("{id}: {error}")),
                }
                thread::sleep(ms(1_000));
            }
        }));
    }
    for thread in threads {
        let _ = thread.join();
    }
    let runs = setting.runs.lock().unwrap().clone();
    let crashes: Vec<f64> = runs.iter().filter(|(_, _, poison)| *poison).map(|(_, at, _)| *at).collect();
    let late = match crashes.get(2) {
        Some(third) => crashes.iter().filter(|at| **at > third + 3.0).count(),
        None => 0,
    };
    let (served, lost) = (served.load(Ordering::Relaxed), lost.load(Ordering::Relaxed));
    record.say(&format!("crashes at {crashes:.1?}"));
    record.say(&format!("sound requests: {served} served, {lost} failed after they had been passed on"));
    record.say(&format!("retries that reached servers later than 3 s after the third crash: {late}, allowed 3"));
    if !trouble && served < 500 {
        return Err("the sound requests were not served".into());
    }
    Ok(late <= 3)
}

fn outcome(answered: &Res<Message>) -> String {
    match answered {
        Ok(answer) => format!("answered {}", answer.status()),
        Err(error) => error.clone(),
    }
}

/// Checks the memory of the daemons as the platform does: a process that exceeds the memory of its machine is killed. Returns
/// whether all are within it.
fn keep_memory(setting: &Setting) -> bool {
    let mut is_kept = true;
    for daemon in &setting.fleet.daemons {
        if let Some(status) = daemon.has_ended() {
            setting.record.say(&format!("daemon {} has ended: {status}", daemon.name));
            is_kept = false;
            continue;
        }
        let resident = daemon.resident_kb() / 1_024;
        if resident > MEMORY_MB {
            daemon.kill();
            setting.record.say(&format!("daemon {} holds {resident} MB of {MEMORY_MB} MB and is killed", daemon.name));
            is_kept = false;
        }
    }
    is_kept
}

/// One client with a valid key asks one daemon for adapters that do not exist, each under another name.
fn memory(root: &Path, directory: &Path, trouble: bool) -> Res<bool> {
    let specs = vec![engine("gpu-1", "catania"), engine("gpu-2", "palermo"), engine("gpu-3", "siracusa")];
    let setting = open(root, directory, 3, specs)?;
    let record = setting.record.clone();
    let begin = Instant::now();
    let end = begin + ms(95_000);
    let stop = Arc::new(AtomicBool::new(false));
    let (served, refused) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let odd = Arc::new(AtomicU64::new(0));
    let mut threads = Vec::new();
    // Ordinary callers, without adapters.
    for client in 0..6 {
        let daemon = setting.fleet.daemons[client % 3].clone();
        let (stop, served, refused) = (stop.clone(), served.clone(), refused.clone());
        threads.push(thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) && Instant::now() < end {
                let extra = format!("Model: m{}\r\nToken-Count: 800,80\r\n", 1 + client % 3);
                let head = head("POST", "/draft/itinerary", &next_id("c"), KEY, 4_000, &extra);
                let answered = call(daemon.caller, &head, format!("a day in Palermo, {}", next_id("b")).as_bytes(), ms(5_000));
                let is_served = answered.is_ok_and(|answer| answer.status() == 200);
                if is_served { &served } else { &refused }.fetch_add(1, Ordering::Relaxed);
                thread::sleep(ms(200));
            }
        }));
    }
    if trouble {
        // The client sends up to 240 requests a second, whose heads are below the configuration's `max-header-bytes`.
        for _ in 0..24 {
            let daemon = setting.fleet.daemons[0].clone();
            let (stop, odd, record) = (stop.clone(), odd.clone(), record.clone());
            threads.push(thread::spawn(move || {
                let padding = "x".repeat(15_500);
                while !stop.load(Ordering::Relaxed) && Instant::now() < end {
                    let id = next_id("o");
                    let extra = format!("Model: m1/{id}{padding}\r\nToken-Count: 1,1\r\n");
                    let head = head("POST", "/draft/itinerary", &id, ODD_KEY, 100, &extra);
                    let next = Instant::now() + ms(100);
                    let answered = call(daemon.caller, &head, format!("a day in Palermo, {}", next_id("b")).as_bytes(), ms(1_000));
                    record.note(&format!("{id} for an adapter of 15,509 bytes: {}", outcome(&answered)));
                    odd.fetch_add(1, Ordering::Relaxed);
                    thread::sleep(next.saturating_duration_since(Instant::now()));
                }
            }));
        }
    }
    let mut is_kept = true;
    let mut next_line = begin;
    while Instant::now() < end && is_kept {
        is_kept = keep_memory(&setting);
        if Instant::now() >= next_line {
            next_line += ms(5_000);
            let daemons = &setting.fleet.daemons;
            let resident: Vec<u64> = daemons.iter().map(|d| d.resident_kb() / 1_024).collect();
            let cpu: Vec<f64> = daemons.iter().map(|d| d.cpu_s()).collect();
            record.say(&format!(
                "resident MB {resident:?}, processor seconds {cpu:.1?}; odd requests {}; ordinary requests: {} served, {} not",
                odd.load(Ordering::Relaxed),
                served.load(Ordering::Relaxed),
                refused.load(Ordering::Relaxed)
            ));
        }
        thread::sleep(ms(100));
    }
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    if !trouble && served.load(Ordering::Relaxed) < 500 {
        return Err("the ordinary requests were not served".into());
    }
    Ok(is_kept)
}

/// A client with a valid key asks for adapters that do not exist, fewer than six times a second.
fn unknown(root: &Path, directory: &Path, trouble: bool) -> Res<bool> {
    let specs = vec![engine("gpu-1", "catania"), engine("gpu-2", "palermo"), engine("gpu-3", "siracusa")];
    let setting = open(root, directory, 3, specs)?;
    let record = setting.record.clone();
    let end = Instant::now() + ms(60_000);
    let mut threads = Vec::new();
    let odd = Arc::new(AtomicU64::new(0));
    if trouble {
        for connection in 0..8 {
            let daemon = setting.fleet.daemons[connection % 3].clone();
            let (record, odd) = (record.clone(), odd.clone());
            threads.push(thread::spawn(move || {
                while Instant::now() < end {
                    let id = next_id("o");
                    let name = format!("m{}/{id}", 1 + connection % 3);
                    let extra = format!("Model: {name}\r\nToken-Count: 800,80\r\n");
                    let head = head("POST", "/draft/itinerary", &id, ODD_KEY, 1_000, &extra);
                    let answered = call(daemon.caller, &head, format!("a day in Palermo, {}", next_id("b")).as_bytes(), ms(1_500));
                    record.note(&format!("{id} for {name}, which does not exist: {}", outcome(&answered)));
                    odd.fetch_add(1, Ordering::Relaxed);
                    thread::sleep(ms(500));
                }
            }));
        }
        thread::sleep(ms(3_000));
    }
    // Ordinary callers: four adapters of each of the three models, each asked for about twice a second.
    let counts: Arc<Mutex<BTreeMap<String, (u64, u64)>>> = Arc::default();
    for index in 0..12 {
        let daemon = setting.fleet.daemons[index % 3].clone();
        let (counts, record) = (counts.clone(), record.clone());
        threads.push(thread::spawn(move || {
            let name = format!("m{}/a{}", 1 + index / 4, 1 + index % 4);
            while Instant::now() < end {
                let id = next_id("c");
                let extra = format!("Model: {name}\r\nToken-Count: 800,80\r\n");
                let head = head("POST", "/draft/itinerary", &id, KEY, 4_000, &extra);
                let answered = call(daemon.caller, &head, format!("a day in Palermo, {}", next_id("b")).as_bytes(), ms(5_000));
                record.note(&format!("{id} for {name}: {}", outcome(&answered)));
                let mut counts = counts.lock().unwrap();
                let count = counts.entry(name.clone()).or_default();
                count.0 += 1;
                count.1 += u64::from(answered.is_ok_and(|answer| answer.status() == 200));
                drop(counts);
                thread::sleep(ms(400));
            }
        }));
    }
    for thread in threads {
        let _ = thread.join();
    }
    let counts = counts.lock().unwrap().clone();
    let orders: u64 = setting.servers.iter().map(|s| s.order_calls.load(Ordering::Relaxed)).sum();
    for (name, (asked, served)) in &counts {
        record.say(&format!("{name}: asked for {asked} times, served {served} times"));
    }
    record.say(&format!("requests for adapters that do not exist: {}; orders to the servers: {orders}", odd.load(Ordering::Relaxed)));
    // Asked for four times or more, over 8 s.
    let asked = counts.values().filter(|(asked, _)| *asked >= 4).count();
    let starved = counts.values().filter(|(asked, served)| *asked >= 4 && *served == 0).count();
    let allowed = 1.0 + 0.1 * asked as f64;
    record.say(&format!("adapters that are never served: {starved} of {asked}, allowed {allowed:.1}"));
    if !trouble && starved > 0 {
        return Err("an adapter was not served without the disruption".into());
    }
    Ok(starved as f64 <= allowed)
}

/// Requests with a prompt part that crashes the servers which answer them. The servers are processes.
fn parts(root: &Path, directory: &Path, trouble: bool) -> Res<bool> {
    let record = Record::open(&directory.join("record.txt"))?;
    let (store, address) = Store::open()?;
    store.put("keyed.op", "config", &config());
    let runs: Arc<Mutex<Vec<(String, f64, bool)>>> = Arc::default();
    let mut servers = Vec::new();
    for name in ["gpu-1", "gpu-2", "gpu-3", "gpu-4", "gpu-5", "gpu-6"] {
        let store = (store.clone(), address);
        servers.push(ServerProcess::open(name, "m1,m2,m3", store, &record, &runs)?);
    }
    thread::sleep(ms(500));
    let mut fleet = Fleet::new(root, address, &record)?;
    for zone in ZONES {
        fleet.start(&format!("front-{zone}-1"), zone)?;
    }
    fleet.wait_ready(ms(20_000))?;
    thread::sleep(ms(7_000));
    let end = Instant::now() + ms(70_000);
    let counts = Arc::new((AtomicU64::new(0), AtomicU64::new(0)));
    let mut threads = Vec::new();
    for client in 0..6 {
        let daemon = fleet.daemons[client % 3].clone();
        let (record, counts) = (record.clone(), counts.clone());
        threads.push(thread::spawn(move || {
            while Instant::now() < end {
                let id = next_id("c");
                let extra = format!("Model: m{}\r\nToken-Count: 800,80\r\nPrompt-Prefix: 5c1e07a2:400,{}:400\r\n", 1 + client % 3, &id[1..]);
                let head = head("POST", "/draft/itinerary", &id, KEY, 4_000, &extra);
                let answered = call(daemon.caller, &head, format!("day {id}").as_bytes(), ms(5_000));
                record.note(&format!("{id}: {}", outcome(&answered)));
                counts.0.fetch_add(1, Ordering::Relaxed);
                counts.1.fetch_add(u64::from(answered.is_ok_and(|answer| answer.status() == 200)), Ordering::Relaxed);
                thread::sleep(ms(300));
            }
        }));
    }
    if trouble {
        // No two of these requests are alike; one comes every two seconds, at one daemon after the other.
        let daemons = fleet.daemons.clone();
        let record = record.clone();
        threads.push(thread::spawn(move || {
            let mut turn = 0;
            while Instant::now() < end {
                let daemon = &daemons[turn % daemons.len()];
                turn += 1;
                let id = next_id("p");
                let extra = format!("Model: m{}\r\nToken-Count: 800,80\r\nPrompt-Prefix: 91bd3f06:410,{}:390\r\n", 1 + turn % 3, &id[1..]);
                let head = head("POST", "/draft/itinerary", &id, KEY, 4_000, &extra);
                let next = Instant::now() + ms(2_000);
                let answered = call(daemon.caller, &head, format!("poison {id}").as_bytes(), ms(5_000));
                record.note(&format!("{id} with the part, sent to {}: {}", daemon.name, outcome(&answered)));
                thread::sleep(next.saturating_duration_since(Instant::now()));
            }
        }));
    }
    for thread in threads {
        let _ = thread.join();
    }
    for server in &servers {
        server.stop();
        record.note(&format!("server {} is stopped", server.name));
    }
    let (asked, served) = (counts.0.load(Ordering::Relaxed), counts.1.load(Ordering::Relaxed));
    let crashes: Vec<f64> = runs.lock().unwrap().iter().filter(|(_, _, poison)| *poison).map(|(_, at, _)| *at).collect();
    record.say(&format!("crashes at {crashes:.1?}"));
    record.say(&format!("sound requests: {served} of {asked} served"));
    let late = crashes.get(4).map_or(0, |fifth| crashes.iter().filter(|at| **at > fifth + 3.0).count());
    record.say(&format!("requests with the part that reached servers later than 3 s after the fifth crash: {late}, allowed 3"));
    if !trouble && served < 500 {
        return Err("the sound requests were not served".into());
    }
    Ok(late <= 3)
}
