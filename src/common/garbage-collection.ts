/**
 * Runs the garbage collector at once. The runtime lets released buffers pile up to some 64 MB before it collects, since it
 * goes by the objects of the heap; on a small machine that is half of the memory.
 */
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

let collect: (() => void) | undefined;

export function collectGarbage(): void {
    if (collect === undefined) {
        setFlagsFromString("--expose-gc");
        collect = runInNewContext("gc") as () => void;
    }
    collect();
}
