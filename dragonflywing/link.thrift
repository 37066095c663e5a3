// Messages between entry instances that share the databases' connections.
// Ages and times are in seconds.

// A statement for a database's home, the instance that holds its connections.
struct RunRequest {
  1: string database,
  2: string workspace,
  3: string statement_id,
  4: string text,
  5: string kind,           // read, write or commit
  6: map<string, string> values,
  7: map<string, string> prepared,
  8: i64 floor_term,
  9: i64 floor_index,
  10: double max_age,       // limit on the age of data; 0: current; below 0: none
  11: string opening,       // statement that begins a transaction first, or empty
  12: string transaction,   // handle of an open transaction, or empty
  13: double timeout,
  14: i32 priority,
  15: double target,        // seconds until the objective is missed; 0 if unknown
}

struct RunAnswer {
  1: string code,
  2: string text,
  3: list<string> rows,
  4: i64 term,
  5: i64 index,
  6: string transaction,
  7: double wait,           // expected wait for a slot of the database
  // Only from homes that pace the database:
  8: optional double pace,     // statements in flight that it allows
  9: optional double failing,  // share of statements that failed lately, 0 to 1
}

struct GroupView {
  1: string group,
  2: string primary,
  3: i64 term,
  4: i64 floor_term,
  5: i64 floor_index,
  6: double floor_age,      // below 0: no floor is known
}

// The question that an instance sends to its partners twice a second. It holds no
// ages, since it may be read late.
struct Exchange {
  1: string instance,
  2: bool leaving,
  // Only if the partner divides the rates for the asker:
  3: map<string, double> demand,    // operations a second by workspace
  4: map<string, i64> admitted,     // operations since the start by workspace
  5: i64 config_version,
  6: i64 database_revision,         // of the copy of the databases' entries
  7: list<GroupView> groups,        // if the partner knows other primaries
  8: i64 fleet_revision,            // of the copy of the instances' keys
  9: i64 primaries_digest,          // of the known primaries of all groups
  10: bool floors,                  // whether the asker uses floors
  11: bool compress,                // whether to compress the answer by zlib
  // The eras of the revisions; earlier builds send none.
  12: i64 database_era,
  13: i64 fleet_era,
  // Of the copy of the evacuations' keys, if the asker follows them.
  14: optional i64 evacuation_revision,
  15: optional i64 evacuation_era,
  // Of the permits that the asker knows; earlier builds send none.
  16: optional i64 permit_token,
  17: optional i64 permit_number,
}

// A group's primary for which instances may tell callers of commits.
struct PermittedPrimary {
  1: string database,
  2: i64 term,
  3: i64 base_term,                 // its log holds the commits of this earlier term
  4: i64 base_index,                // up to this one
  // The databases that count for a commit; left out by an earlier build, for all.
  5: optional list<string> voters,
}

// The permitted primaries as of a version. The primaries are left out if the asker
// knows this version.
struct Permits {
  1: i64 token,
  2: i64 number,
  3: optional map<string, PermittedPrimary> leaders,
  // Only in answers:
  4: optional double age,           // since they were given
  5: optional double valid,         // for how long they were given
  6: optional bool direct,          // whether by the holder of the duty itself
}

// The answer to a call that revises permits: the instances that rely on the earlier
// ones no longer, and for how many seconds others may still do so, to which the
// answering one has passed them on.
struct Revised {
  1: list<string> confirmed,
  2: map<string, double> passed_on,
}

// A key of the store as of its last change.
struct StoredKey {
  1: string key,
  2: binary value,
  3: i64 revision,
  4: bool deleted,
  5: i64 era,                       // of the revision
}

// What changed in a copy of the store's keys since the asker's revision; all keys if
// it is complete.
struct KeyChanges {
  1: bool complete,
  2: i64 revision,
  3: list<StoredKey> items,
  4: i64 era,                       // of the revision
}

// A relay's summary: of its data centre for other relays, of the whole fleet for the
// instances of its data centre.
struct Summary {
  1: bool complete,                 // whether all live instances have reported
  2: map<string, double> demand,
  3: map<string, i64> admitted,     // a sum that only grows
  4: list<string> silent,           // instances without recent contact
  5: list<string> leaving,
}

// The answer to an exchange: the state that an instance knows. Ages count from the
// time of the question.
struct Beliefs {
  1: i64 config_version,
  2: double config_age,
  3: i64 directory_revision,        // 0; earlier builds compare it
  4: list<GroupView> groups,        // those that the asker lacks
  5: optional Summary summary,      // from relays only
  6: optional KeyChanges databases,
  7: optional KeyChanges fleet,
  8: i64 config_revision,           // of the store, at which the version was newest
  9: i64 primaries_digest,
  10: i64 config_era,               // of config_revision; earlier builds send none
  11: bool listed,                  // whether the asker is; earlier builds send none
  12: optional KeyChanges evacuations,
  13: optional double evacuation_age,   // of the list of evacuations that is known
  14: optional Permits permits,
}

// A configuration as the operator wrote it.
struct Document {
  1: i64 revision,
  2: binary compressed,             // by zlib
}

// One call; `body` is one of the above or text. Answers have no envelope.
struct Envelope {
  1: string name,
  2: binary body,
}
