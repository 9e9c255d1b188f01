/** Collects the parts of a body in few buffers. */
export interface ByteCollector {
    readonly append: (chunk: Buffer) => void;
    readonly length: () => number;
    /** Returns all bytes collected since the last call. */
    readonly take: () => Buffer;
}

/** So many chunks are joined: a Buffer object takes more memory than the few bytes that it may hold. */
const joinedChunks = 64;

/** Creates an empty collector, whose memory follows the number of bytes and not that of the chunks. */
export function makeByteCollector(): ByteCollector {
    let joined: Buffer[] = [];
    let recent: Buffer[] = [];
    let length = 0;
    return {
        append: chunk => {
            length += chunk.length;
            recent.push(chunk);
            if (recent.length === joinedChunks) {
                joined.push(Buffer.concat(recent));
                recent = [];
            }
        },
        length: () => length,
        take: () => {
            const bytes = Buffer.concat([...joined, ...recent]);
            joined = [];
            recent = [];
            length = 0;
            return bytes;
        }
    };
}
