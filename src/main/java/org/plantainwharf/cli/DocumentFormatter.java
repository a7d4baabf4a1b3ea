package org.plantainwharf.cli;

import org.plantainwharf.document.DocumentDifference;
import org.plantainwharf.document.DocumentFinding;

/** Formats what a check of a service document finds as human-readable text. Stateless; thread-safe. */
final class DocumentFormatter {
    private DocumentFormatter() {}

    /** Formats a finding as one line. */
    static String format(DocumentFinding finding) {
        String kind =
                switch (finding) {
                    case DocumentFinding.NeverMatches unmatched -> "never matches";
                    case DocumentFinding.WithoutEffect ineffective -> "without effect";
                    case DocumentFinding.Contradiction contradiction -> "contradiction";
                };
        return kind + ": " + finding.subject() + ": " + finding.problem();
    }

    /** Formats the changes between two documents, one change per line. */
    static String format(DocumentDifference difference) {
        return SheetFormatter.format(difference.versionBefore(), difference.versionAfter(), difference.changes());
    }
}
