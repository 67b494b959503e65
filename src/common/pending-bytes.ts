/**
 * The unfinished part of a message that arrives in chunks. Chunks are appended to a buffer that grows by doubling, so that
 * the bytes copied stay proportional to the bytes received, however small the chunks are.
 */
import { Buffer } from "node:buffer";

const smallestBufferBytes = 256;
const noBytes = Buffer.alloc(0);

export class PendingBytes {
    private storage: Buffer = noBytes;
    private used = 0;

    get length(): number {
        return this.used;
    }

    /** Returns the pending bytes followed by the chunk. They become the pending bytes; an only chunk is not copied. */
    append(chunk: Buffer): Buffer {
        if (this.used === 0) {
            this.storage = chunk;
        }
        else {
            this.reserve(this.used + chunk.length);
            chunk.copy(this.storage, this.used);
        }
        this.used += chunk.length;
        return this.bytes;
    }

    /** What was returned for the bytes before stays valid. */
    removeFirst(count: number): void {
        if (count === 0) {
            return;
        }
        this.used -= count;
        this.storage = this.used === 0 ? noBytes : this.storage.subarray(count, count + this.used);
    }

    get bytes(): Buffer {
        return this.storage.subarray(0, this.used);
    }

    private reserve(needed: number): void {
        if (needed <= this.storage.length) {
            return;
        }
        const grown = Buffer.allocUnsafeSlow(Math.max(needed, 2 * this.storage.length, smallestBufferBytes));
        this.storage.copy(grown, 0, 0, this.used);
        this.storage = grown;
    }
}
