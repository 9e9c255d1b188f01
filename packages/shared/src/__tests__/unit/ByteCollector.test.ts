// Guards against small chunks of a body that take far more memory than their bytes.

import test from "ava";
import fc from "fast-check";
import { setTimeout as sleep } from "node:timers/promises";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { makeByteCollector } from "../../ByteCollector";
import { range } from "../../Range";

/** Sizes of parts, and whether each is of the buffer that the part before it is of. */
const partsArbitrary = fc.array(
    fc.record({
        bytes: fc.oneof(fc.integer({ min: 0, max: 3 }), fc.integer({ min: 0, max: 9_000 })),
        isContinued: fc.boolean(),
        gapBytes: fc.constantFrom(0, 0, 4)
    }),
    { maxLength: 300 }
);

test("returns all bytes in order", t => {
    fc.assert(fc.property(partsArbitrary, parts => {
        const collector = makeByteCollector();
        const expected: Buffer[] = [];
        let read = Buffer.alloc(0);
        let start = 0;
        parts.forEach(({ bytes, isContinued, gapBytes }, index) => {
            start += gapBytes;
            if (!isContinued || start + bytes > read.length) {
                read = Buffer.alloc(16_384, index % 251);
                start = 0;
            }
            const part = read.subarray(start, start + bytes);
            start += bytes;
            expected.push(part);
            collector.append(part);
        });
        const all = Buffer.concat(expected);
        return collector.length() === all.length && collector.take().equals(all) && collector.length() === 0
            && collector.heldBytes() === 0;
    }));
    t.pass();
});

test("keeps few buffers of a body in chunks of one byte", t => {
    const chunk = Buffer.from("x");
    setFlagsFromString("--expose-gc");
    const collectGarbage = runInNewContext("gc") as () => void;
    collectGarbage();
    const before = process.memoryUsage().heapUsed;
    const collectors = range(8).map(() => {
        const collector = makeByteCollector();
        range(500_000).forEach(() => collector.append(chunk));
        return collector;
    });
    collectGarbage();
    const bytes = collectors.reduce((sum, collector) => sum + collector.length(), 0);
    t.true(process.memoryUsage().heapUsed - before < bytes);
});

test("keeps no buffers of which a body takes a small part", async t => {
    setFlagsFromString("--expose-gc");
    const collectGarbage = runInNewContext("gc") as () => void;
    collectGarbage();
    const before = process.memoryUsage().arrayBuffers;
    const collectors = range(8).map(() => {
        const collector = makeByteCollector();
        range(50).forEach(() => collector.append(Buffer.alloc(65_536).subarray(0, 16)));
        return collector;
    });
    const bytes = collectors.reduce((sum, collector) => sum + collector.length(), 0);
    const maxBytes = 65_536 + 4 * bytes;
    // Buffers are freed some time after the collection that finds them unused.
    let grownBytes = Infinity;
    for (let collections = 0; collections < 50 && grownBytes > maxBytes; collections += 1) {
        collectGarbage();
        await sleep(10);
        grownBytes = process.memoryUsage().arrayBuffers - before;
    }
    t.true(grownBytes <= maxBytes, `${grownBytes} bytes`);
});
