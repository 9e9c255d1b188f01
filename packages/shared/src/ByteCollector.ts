/** Collects the parts of a body in few buffers. */
export interface ByteCollector {
    readonly append: (chunk: Buffer) => void;
    readonly length: () => number;
    /** Returns all bytes collected since the last call. */
    readonly take: () => Buffer;
}

/** Smaller chunks are copied together: a Buffer object takes more memory than the few bytes that it may hold. */
const copiedChunkBytes = 4_096;
const blockBytes = 16_384;

/** Creates an empty collector, whose memory follows the number of bytes and not that of the chunks. */
export function makeByteCollector(): ByteCollector {
    let finished: Buffer[] = [];
    let block: Buffer | undefined;
    let usedBytes = 0;
    let length = 0;

    const finishBlock = () => {
        if (block !== undefined && usedBytes > 0) {
            finished.push(block.subarray(0, usedBytes));
        }
        block = undefined;
        usedBytes = 0;
    };
    return {
        append: chunk => {
            length += chunk.length;
            if (chunk.length >= copiedChunkBytes) {
                finishBlock();
                finished.push(chunk);
                return;
            }
            if (usedBytes + chunk.length > blockBytes) {
                finishBlock();
            }
            block ??= Buffer.allocUnsafe(blockBytes);
            usedBytes += chunk.copy(block, usedBytes);
        },
        length: () => length,
        take: () => {
            finishBlock();
            const bytes = finished.length === 1 ? finished[0]! : Buffer.concat(finished);
            finished = [];
            length = 0;
            return bytes;
        }
    };
}
