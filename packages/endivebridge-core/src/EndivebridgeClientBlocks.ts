import { invariant } from "@endivebridge/shared";

/** CIDR block of client addresses and the region that they belong to. */
export interface ClientBlock {
    readonly block: string;
    readonly region: string;
}

/** Longest-prefix match from client address to region. */
export interface ClientBlocks {
    /** Region of an IPv4 address; undefined if no block covers it. */
    readonly regionOf: (address: string) => string | undefined;
    /** Adds blocks, or changes the region of blocks already there. */
    readonly put: (blocks: readonly ClientBlock[]) => void;
    readonly remove: (blocks: readonly string[]) => void;
    readonly size: () => number;
}

const bucketCount = 65_536;
const bucketSize = 65_536;
const bucketPrefixLength = 16;
const noRegion = 0;

interface ParsedBlock {
    readonly start: number;
    readonly length: number;
}

/** Reads a dotted IPv4 address as a number; undefined if the text is not one. */
export function parseAddress(address: string): number | undefined {
    let value = 0;
    let part = -1;
    let parts = 0;
    for (let index = 0; index <= address.length; index += 1) {
        const code = index < address.length ? address.charCodeAt(index) : 46;
        if (code === 46) {
            if (part < 0 || part > 255) {
                return undefined;
            }
            value = value * 256 + part;
            part = -1;
            parts += 1;
        }
        else if (code >= 48 && code <= 57) {
            part = (part < 0 ? 0 : part) * 10 + code - 48;
        }
        else {
            return undefined;
        }
    }
    return parts === 4 ? value : undefined;
}

function parseBlock(text: string): ParsedBlock {
    const [address = "", lengthText = ""] = text.split("/");
    const value = parseAddress(address);
    const length = Number(lengthText);
    invariant(value !== undefined && length >= 0 && length <= 32, `invalid client block ${text}`);
    const size = 2 ** (32 - length);
    return { start: Math.floor(value / size) * size, length };
}

/** Blocks of one prefix length, sorted by start address in typed arrays. */
class PrefixLengthTable {
    starts = new Uint32Array(16);
    regions = new Uint16Array(16);
    count = 0;

    private lowerBound(start: number): number {
        let low = 0;
        let high = this.count;
        while (low < high) {
            const middle = (low + high) >>> 1;
            if (this.starts[middle]! < start) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        return low;
    }

    private grow(): void {
        const starts = new Uint32Array(this.starts.length * 2);
        const regions = new Uint16Array(this.starts.length * 2);
        starts.set(this.starts);
        regions.set(this.regions);
        this.starts = starts;
        this.regions = regions;
    }

    regionAt(start: number): number {
        const index = this.lowerBound(start);
        return index < this.count && this.starts[index] === start ? this.regions[index]! : noRegion;
    }

    put(start: number, region: number): void {
        const index = this.lowerBound(start);
        if (index < this.count && this.starts[index] === start) {
            this.regions[index] = region;
            return;
        }
        if (this.count === this.starts.length) {
            this.grow();
        }
        this.starts.copyWithin(index + 1, index, this.count);
        this.regions.copyWithin(index + 1, index, this.count);
        this.starts[index] = start;
        this.regions[index] = region;
        this.count += 1;
    }

    remove(start: number): void {
        const index = this.lowerBound(start);
        if (index < this.count && this.starts[index] === start) {
            this.starts.copyWithin(index, index + 1, this.count);
            this.regions.copyWithin(index, index + 1, this.count);
            this.count -= 1;
        }
    }
}

/** Creates a table of client blocks; look-ups search only the prefix lengths in use. */
export function makeClientBlocks(blocks: readonly ClientBlock[] = []): ClientBlocks {
    const tables: (PrefixLengthTable | undefined)[] = new Array(33).fill(undefined);
    const regionNames: string[] = [""];
    const regionNumbers = new Map<string, number>();
    // Longest prefix length of any block inside each /16; most look-ups can skip longer prefixes.
    const longestPrefixByBucket = new Uint8Array(bucketCount);
    let prefixLengthsInUse: number[] = [];
    let size = 0;

    const regionNumber = (region: string): number => {
        const known = regionNumbers.get(region);
        if (known !== undefined) {
            return known;
        }
        regionNumbers.set(region, regionNames.length);
        regionNames.push(region);
        return regionNames.length - 1;
    };

    const refreshLengthsAndSize = () => {
        prefixLengthsInUse = [];
        size = 0;
        for (let length = 32; length >= 0; length -= 1) {
            const count = tables[length]?.count ?? 0;
            size += count;
            if (count > 0) {
                prefixLengthsInUse.push(length);
            }
        }
    };

    const put = (added: readonly ClientBlock[]) => {
        // Inserting in ascending order makes each insertion of a bulk load an append.
        const parsed = added.map(each => ({ ...parseBlock(each.block), region: each.region }));
        parsed.sort((left, right) => left.start - right.start);
        for (const { start, length, region } of parsed) {
            const table = tables[length] ??= new PrefixLengthTable();
            table.put(start, regionNumber(region));
            const bucket = Math.floor(start / bucketSize);
            if (length > bucketPrefixLength) {
                longestPrefixByBucket[bucket] = Math.max(longestPrefixByBucket[bucket]!, length);
            }
        }
        refreshLengthsAndSize();
    };

    const findRegion = (value: number): number => {
        const longestPrefix = longestPrefixByBucket[Math.floor(value / bucketSize)]!;
        for (const length of prefixLengthsInUse) {
            if (length > bucketPrefixLength && length > longestPrefix) {
                continue;
            }
            const blockSize = 2 ** (32 - length);
            const region = tables[length]!.regionAt(value - (value % blockSize));
            if (region !== noRegion) {
                return region;
            }
        }
        return noRegion;
    };

    put(blocks);
    return {
        regionOf: address => {
            const value = parseAddress(address);
            const region = value === undefined ? noRegion : findRegion(value);
            return region === noRegion ? undefined : regionNames[region];
        },
        put,
        remove: removed => {
            for (const text of removed) {
                const { start, length } = parseBlock(text);
                tables[length]?.remove(start);
            }
            refreshLengthsAndSize();
        },
        size: () => size
    };
}
