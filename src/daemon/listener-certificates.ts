/** Reads the TLS certificate and key of the listener for callers. */
import { readTextFile } from "../common/read-text-file.js";
import type { ListenerCertificates } from "../process/http/http-listener.js";

export interface ListenerCertificateFiles {
    readonly certificateFile: string;
    readonly keyFile: string;
}

/** Rejects with UnreadableFileError if a file cannot be read. */
export async function readListenerCertificates(files: ListenerCertificateFiles): Promise<ListenerCertificates> {
    const [certificate, key] = await Promise.all([readTextFile(files.certificateFile), readTextFile(files.keyFile)]);
    return { certificate, key };
}
