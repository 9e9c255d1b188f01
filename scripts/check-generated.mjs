// Generates code into a scratch folder and compares it with what is committed.
import { execFileSync } from "node:child_process";
import { cpSync, mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";

const scratch = mkdtempSync(join(tmpdir(), "endivebridge-generated-"));
const environment = { ...process.env, PATH: `${resolve("node_modules/.bin")}:${process.env.PATH}` };

function run(program, parameters, folder) {
    execFileSync(resolve("node_modules/.bin", program), parameters, { cwd: folder, env: environment });
}

function compare(committed, made) {
    if (readFileSync(committed, "utf8") !== readFileSync(made, "utf8")) {
        console.error(`${committed} is not what its source generates: run npm run generate`);
        process.exitCode = 1;
    }
}

try {
    const protocol = "packages/endivebridge-protocol";
    cpSync(join(protocol, "proto"), join(scratch, "proto"), { recursive: true });
    cpSync(join(protocol, "buf.gen.yaml"), join(scratch, "buf.gen.yaml"));
    run("buf", ["generate"], scratch);
    compare(join(protocol, "src/generated/peer_pb.ts"), join(scratch, "src/generated/peer_pb.ts"));

    const grammar = "packages/endivebridge-ctl";
    cpSync(join(grammar, "grammar"), join(scratch, "grammar"), { recursive: true });
    const made = join(scratch, "src/generated/Statement.js");
    run("peggy", ["--format", "es", "--dts", "--output", "src/generated/Statement.js", "grammar/Statement.peggy"], scratch);
    compare(join(grammar, "src/generated/Statement.js"), made);
}
finally {
    rmSync(scratch, { recursive: true, force: true });
}
