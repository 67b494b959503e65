/**
 * Collects the chunks of a message. A chunk is an object of over a hundred bytes beside its content, so that chunks are
 * copied together as they arrive, and what is held is what is accounted for, however small the chunks are.
 *
 * Long messages are collected in blocks that are used again. The garbage collector frees released buffers late, since it
 * goes by the objects of the heap, which they are hardly part of.
 */
import { Buffer } from "node:buffer";
import type { MemoryAccount } from "./memory-ledger.js";

const smallestBufferBytes = 1_024;
const blockBytes = 65_536;
/** 8 MB; an ordinary router collects less at once. */
const maximumFreeBlocks = 128;

class BlockPool {
    private readonly free: Buffer[] = [];

    take(): Buffer {
        return this.free.pop() ?? Buffer.allocUnsafeSlow(blockBytes);
    }

    release(block: Buffer): void {
        if (this.free.length < maximumFreeBlocks) {
            this.free.push(block);
        }
    }
}

const pool = new BlockPool();

export class ByteCollector {
    /** The start of the message, up to the size of a block; grows as it fills. */
    private start = Buffer.alloc(0);
    private readonly blocks: Buffer[] = [];
    private length = 0;

    /** Without an account, the memory is not accounted for. */
    constructor(private readonly account?: MemoryAccount) {}

    get bytes(): number {
        return this.length;
    }

    /** Throws MemoryShortageError if the process has no memory for the chunk. */
    append(chunk: Buffer): void {
        this.reserve(this.length + chunk.length);
        for (let copied = 0; copied < chunk.length;) {
            const block = this.length < blockBytes
                ? this.start
                : this.blocks[Math.floor(this.length / blockBytes) - 1]!;
            const bytes = chunk.copy(block, this.length % blockBytes, copied);
            copied += bytes;
            this.length += bytes;
        }
    }

    /** Returns the message and releases the blocks; the memory stays accounted for. */
    take(): Buffer {
        const content = this.blocks.length === 0
            ? this.start.subarray(0, this.length)
            : Buffer.concat([this.start, ...this.blocks], this.length);
        this.release();
        return content;
    }

    /** Discards what has been collected. */
    release(): void {
        this.blocks.forEach(block => pool.release(block));
        this.blocks.length = 0;
        this.start = Buffer.alloc(0);
        this.length = 0;
    }

    private reserve(needed: number): void {
        const startBytes = needed > this.start.length
            ? Math.min(blockBytes, Math.max(needed, 2 * this.start.length, smallestBufferBytes))
            : this.start.length;
        const blockCount = Math.max(0, Math.ceil(needed / blockBytes) - 1);
        if (startBytes === this.start.length && blockCount <= this.blocks.length) {
            return;
        }
        this.account?.resize(startBytes + blockCount * blockBytes);
        if (startBytes > this.start.length) {
            const grown = Buffer.allocUnsafeSlow(startBytes);
            this.start.copy(grown, 0, 0, this.length);
            this.start = grown;
        }
        while (this.blocks.length < blockCount) {
            this.blocks.push(pool.take());
        }
    }
}
