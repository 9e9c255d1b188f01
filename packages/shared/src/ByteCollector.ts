/** Collects the parts of a body in few buffers. */
export interface ByteCollector {
    readonly append: (chunk: Buffer) => void;
    readonly length: () => number;
    /** Memory of the buffers that hold the bytes. */
    readonly heldBytes: () => number;
    /** Returns all bytes collected since the last call. */
    readonly take: () => Buffer;
    readonly clear: () => void;
}

const noBytes: Buffer = Buffer.alloc(0);
const minBlockBytes = 256;
const maxBlockBytes = 16_384;
/** A Buffer object takes more memory than the few bytes that it may hold. */
const minKeptBytes = 1_024;

/**
 * Creates an empty collector, whose memory follows the number of bytes: small chunks, and those that are a small part of the
 * buffer that they are a view of, are copied into blocks.
 */
export function makeByteCollector(): ByteCollector {
    let parts: Buffer[] = [];
    let partBytes = 0;
    let block = noBytes;
    let usedBytes = 0;
    let length = 0;

    const addPart = (part: Buffer, memoryBytes: number) => {
        parts.push(part);
        partBytes += memoryBytes;
    };
    const closeBlock = () => {
        if (usedBytes > 0) {
            addPart(block.subarray(0, usedBytes), block.length);
        }
        block = noBytes;
        usedBytes = 0;
    };
    const copy = (chunk: Buffer) => {
        for (let copiedBytes = 0; copiedBytes < chunk.length;) {
            if (usedBytes === block.length) {
                closeBlock();
                // Blocks grow with the body, so that little of the last one is unused.
                const wantedBytes = Math.max(minBlockBytes, length / 4, chunk.length - copiedBytes);
                block = Buffer.allocUnsafe(Math.min(maxBlockBytes, Math.ceil(wantedBytes)));
            }
            const bytes = chunk.copy(block, usedBytes, copiedBytes);
            usedBytes += bytes;
            copiedBytes += bytes;
        }
    };
    const clear = () => {
        parts = [];
        partBytes = 0;
        block = noBytes;
        usedBytes = 0;
        length = 0;
    };
    return {
        append: chunk => {
            const bufferBytes = chunk.buffer.byteLength;
            // A small body that arrives at once is kept too.
            if ((length === 0 || chunk.length >= minKeptBytes) && chunk.length >= bufferBytes / 2) {
                closeBlock();
                addPart(chunk, bufferBytes);
            }
            else {
                copy(chunk);
            }
            length += chunk.length;
        },
        length: () => length,
        heldBytes: () => partBytes + block.length,
        take: () => {
            closeBlock();
            const bytes = parts.length === 1 ? parts[0]! : Buffer.concat(parts);
            clear();
            return bytes;
        },
        clear
    };
}
