/** Reads the certificate that callers see. */
import { readFile } from "node:fs/promises";
import { UnreadableFileError } from "../errors/index.js";
import type { ListenerCertificates } from "../process/http/http-listener.js";

export interface ListenerCertificateFiles {
    readonly certificateFile: string;
    readonly keyFile: string;
}

/** Rejects with an UnreadableFileError. */
export async function readListenerCertificates(files: ListenerCertificateFiles): Promise<ListenerCertificates> {
    const [certificate, key] = await Promise.all([readText(files.certificateFile), readText(files.keyFile)]);
    return { certificate, key };
}

async function readText(file: string): Promise<string> {
    try {
        return await readFile(file, "utf8");
    }
    catch (error) {
        throw new UnreadableFileError(file, error);
    }
}
