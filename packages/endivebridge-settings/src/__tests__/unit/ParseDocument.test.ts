import test from "ava";
import { readdirSync, readFileSync } from "node:fs";
import { describeFaults, type DocumentFault, parseConfiguration, parseSettings } from "../../index";

const faultySettings = `{
    // no region, a wrong port, an unknown field
    "instance": "fraser-1-a",
    "failureDomain": "Fraser One",
    "callers": { "host": "127.0.0.1", "port": 70000 },
    "peers": { "host": "127.0.0.1", "port": 7001 },
    "platform": { "url": "ftp://platform" },
    "keys": { "operator": "short", "peer": "long-enough-peer-key" },
    "timing": { "leaseMillis": 0 },
    "colour": "green"
}`;

function describeSettingsFaults(text: string): string {
    const parsed = parseSettings(text);
    return parsed.isLeft() ? describeFaults("settings.jsonc", parsed.extract() as readonly DocumentFault[]) : "none";
}

test("reports every fault of a settings file at once with its line", t => {
    t.snapshot(describeSettingsFaults(faultySettings));
});

test("reports a syntax error with its line", t => {
    t.snapshot(describeSettingsFaults("{\n  \"instance\": \n}"));
    t.snapshot(describeSettingsFaults(""));
});

test("accepts all example files", t => {
    const folder = new URL("../../../../../examples/", import.meta.url);
    const names = readdirSync(folder);
    const invalidNames = names.filter(name => {
        const text = readFileSync(new URL(name, folder), "utf8");
        const parsed = name.includes("settings") ? parseSettings(text) : parseConfiguration(text);
        return parsed.isLeft();
    });
    t.deepEqual(invalidNames, []);
    t.true(names.length >= 4);
});

test("fills in the defaults of a configuration", t => {
    const parsed = parseConfiguration(`{
        "regions": { "fraser": { "failureDomains": ["fraser-1"] } },
        "services": { "circulation": { "idempotentRoutes": [{ "method": "GET", "pathPrefix": "/holds" }] } },
        "clientBlocks": []
    }`);
    t.snapshot(parsed.unsafeCoerce());
});

test("reports inconsistent configuration values with their lines", t => {
    const parsed = parseConfiguration(`{
        "regions": {
            "fraser": { "failureDomains": ["d1"], "inflowCapRequestsPerSecond": { "nothing": 1 } },
            "kootenay": { "failureDomains": ["d1"] }
        },
        "services": { "circulation": { "idempotentRoutes": [] } },
        "clientBlocks": [
            { "block": "300.0.0.0/8", "region": "fraser" },
            { "block": "10.0.0.0/33", "region": "nowhere" }
        ],
        "links": [{ "from": "fraser", "to": "sea", "bytesPerSecond": 1 }],
        "drains": [{ "region": "lost", "sharePerMinute": 1, "startedAtEpochMillis": 0 }]
    }`);
    t.true(parsed.isLeft());
    t.snapshot(describeFaults("configuration.jsonc", parsed.extract() as readonly DocumentFault[]));
});
