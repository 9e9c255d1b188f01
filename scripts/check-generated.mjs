// Generates the protocol code into a scratch folder and compares it with what is committed.
import { execFileSync } from "node:child_process";
import { cpSync, mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";

const source = "packages/endivebridge-protocol";
const scratch = mkdtempSync(join(tmpdir(), "endivebridge-generated-"));
try {
    cpSync(join(source, "proto"), join(scratch, "proto"), { recursive: true });
    cpSync(join(source, "buf.gen.yaml"), join(scratch, "buf.gen.yaml"));
    const path = `${resolve("node_modules/.bin")}:${process.env.PATH}`;
    execFileSync(resolve("node_modules/.bin/buf"), ["generate"], { cwd: scratch, env: { ...process.env, PATH: path } });
    const file = "src/generated/peer_pb.ts";
    if (readFileSync(join(scratch, file), "utf8") !== readFileSync(join(source, file), "utf8")) {
        console.error(`${source}/${file} is not what proto/peer.proto generates: run npm run generate`);
        process.exitCode = 1;
    }
}
finally {
    rmSync(scratch, { recursive: true, force: true });
}
